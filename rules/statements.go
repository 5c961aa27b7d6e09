package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// parseOrganisation parses an organisation. If its clauses have errors it is added
// without tokens, so that references to its name are not reported as well.
func (p *parser) parseOrganisation() {
	o := Organisation{Source: p.line.source, Share: 1}
	var ok bool
	if o.Name, ok = p.parseName("organisation"); !ok {
		return
	}
	if !p.parseClauses("organisation",
		clause{"token", func() (ok bool) { o.Tokens, ok = p.parseTokens(); return ok }},
		clause{"limit", func() bool { return p.parseRates("limit", &o.Rates, unitRequests, unitTokens) }},
		clause{"share", func() (ok bool) { o.Share, ok = p.parseNumber("share", minShare, maxShare); return ok }},
	) || !p.requireClause("token", "token sha256:HASH") {
		o.Tokens = nil
	}
	p.set.Organisations = append(p.set.Organisations, o)
}

// parseGroup parses a model group. If its clauses have errors it is added
// nevertheless, so that references to its name are not reported as well.
func (p *parser) parseGroup() {
	g := Group{Source: p.line.source}
	var ok bool
	if g.Name, ok = p.parseName("group"); !ok {
		return
	}
	if p.parseClauses("group",
		clause{"models", func() (ok bool) { g.Models, ok = p.parseList("models", checkModel); return ok }},
		clause{"carries", func() bool { return p.parseRates("carries", &g.Capacity, unitRequests, unitTokens) }},
	) {
		p.requireClause("models", "models certificate-8b,species-qa")
	}
	p.set.Groups = append(p.set.Groups, g)
}

// parseService parses a plain service. If its clauses have errors it is added
// nevertheless, so that references to its name are not reported as well.
func (p *parser) parseService() {
	s := Service{Source: p.line.source}
	var ok bool
	if s.Name, ok = p.parseName("service"); !ok {
		return
	}
	p.parseClauses("service",
		clause{"carries", func() bool { return p.parseRates("carries", &s.Capacity, unitRequests) }})
	p.set.Services = append(p.set.Services, s)
}

// parseWeights parses the weights, which a file may set only once.
func (p *parser) parseWeights() {
	w := Weights{Source: p.line.source}
	if p.set.Weights.Line != 0 {
		p.errorf("weights", "are already set in line %d", p.set.Weights.Line)
		return
	}
	if p.parseClauses("weights",
		clause{"skew", func() (ok bool) { w.Skew, ok = p.parseNumber("skew", 0, 1); return ok }},
		clause{"rebalance", func() (ok bool) { w.Rebalance, ok = p.parseNumber("rebalance", 0, 1); return ok }},
	) {
		p.requireClause("skew", "skew 0.5")
		p.requireClause("rebalance", "rebalance 0.5")
	}
	if len(p.seenClauses) == 2 && w.Skew+w.Rebalance == 0 {
		p.errorf("weights", "are both 0; at least one must be greater than 0")
	}
	p.set.Weights = w
}

// hashPrefix precedes the hexadecimal digits of a token's hash.
const hashPrefix = "sha256:"

// parseTokens parses the token hashes of an organisation.
func (p *parser) parseTokens() ([]TokenHash, bool) {
	list, ok := p.parseList("token", checkHash)
	hashes := make([]TokenHash, 0, len(list))
	for _, text := range list {
		var hash TokenHash
		if n, err := hex.Decode(hash[:], []byte(strings.TrimPrefix(text, hashPrefix))); err != nil || n != sha256.Size {
			return nil, false
		}
		hashes = append(hashes, hash)
	}
	return hashes, ok
}
