package rules

import (
	"fmt"
	"slices"
	"strings"
)

// Parse parses the text of a rules file. It returns all problems at once, in line
// order, up to MaxProblems of each severity. The Set is nil if and only if one of
// the problems is an Error. The parameter file is the name that problems mention.
// Time and memory are bounded for any text, and a text longer than MaxFileBytes is
// rejected unread.
func Parse(file string, text []byte) (*Set, []Problem) {
	r := &report{file: file}
	p := &parser{report: r, set: &Set{Weights: Weights{Skew: defaultWeight, Rebalance: defaultWeight}}}
	readLines(r, text, p.parseRule)
	p.resolve()
	if r.hasErrors() {
		return nil, r.problems()
	}
	p.buildIndex()
	if r.hasErrors() {
		return nil, r.problems()
	}
	p.set.warn(r)
	return p.set, r.problems()
}

// parser builds a Set line by line. For the current line, remainingWords holds the
// words that are not parsed yet and seenClauses the keywords of the clauses so far.
type parser struct {
	report         *report
	set            *Set
	line           line
	remainingWords []string
	seenClauses    []string
}

// ruleKeywords are the words that a rule may begin with.
var ruleKeywords = []string{"organisation", "group", "service", "route", "weights"}

// parseRule parses one line.
func (p *parser) parseRule(l line) {
	p.line, p.remainingWords, p.seenClauses = l, l.words[1:], nil
	switch l.words[0] {
	case "organisation":
		p.parseOrganisation()
	case "group":
		p.parseGroup()
	case "service":
		p.parseService()
	case "route":
		p.parseRoute()
	case "weights":
		p.parseWeights()
	default:
		p.unknownWord("rule", l.words[0], ruleKeywords)
	}
}

// errorf reports an error on the current line.
func (p *parser) errorf(field, format string, args ...any) {
	p.report.errorf(p.line.number, field, format, args...)
}

// unknownWord reports a word that the grammar does not allow here. Within an
// organisation rule it does not show a word for which there is no suggestion, as
// the word may be a token. Once no further error is listed it skips the costly
// suggestion.
func (p *parser) unknownWord(field, word string, known []string) {
	if p.report.errorLimitReached() {
		p.errorf(field, "")
		return
	}
	quoted, hint := fmt.Sprintf("%q", word), suggestion(word, known)
	if p.line.words[0] == "organisation" && hint == "" {
		quoted = "(not shown, as it may be a token)"
	}
	p.errorf(field, "unknown word %s%s; expected one of: %s", quoted, hint, strings.Join(known, ", "))
}

// nextWord consumes the next word of the line. If none is left it reports an error
// and returns false.
func (p *parser) nextWord(field, expected string) (string, bool) {
	if len(p.remainingWords) == 0 {
		p.errorf(field, "the line ends where %s should follow", expected)
		return "", false
	}
	word := p.remainingWords[0]
	p.remainingWords = p.remainingWords[1:]
	return word, true
}

// clause is a keyword and the function that parses the words after it. The
// function returns false if the rest of the line cannot be parsed.
type clause struct {
	keyword string
	parse   func() bool
}

// parseClauses parses the rest of the line: clauses in any order, each at most
// once.
func (p *parser) parseClauses(field string, known ...clause) bool {
	for len(p.remainingWords) > 0 {
		word, _ := p.nextWord(field, "")
		i := slices.IndexFunc(known, func(c clause) bool { return c.keyword == word })
		if i < 0 {
			keywords := make([]string, len(known))
			for j, c := range known {
				keywords[j] = c.keyword
			}
			p.unknownWord(field, word, keywords)
			return false
		}
		if slices.Contains(p.seenClauses, word) {
			p.errorf(word, "appears twice in the line")
		}
		p.seenClauses = append(p.seenClauses, word)
		if !known[i].parse() {
			return false
		}
	}
	return true
}

// requireClause reports an error if the line lacks a clause.
func (p *parser) requireClause(word, example string) bool {
	if slices.Contains(p.seenClauses, word) {
		return true
	}
	p.errorf(word, "is missing; write for example %q", example)
	return false
}
