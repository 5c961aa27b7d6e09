package rules

import (
	"fmt"
	"slices"
	"strings"
)

// Request holds the properties of a request that routes match on.
type Request struct {
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Model is empty if the request names no model. A request that names a
	// model is matched only with routes by model, any other only with routes by
	// path.
	Model        string `json:"model,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Class        Class  `json:"class"`
}

// requestFields are the fields that ParseRequest reads as NAME=VALUE.
var requestFields = []string{"model", "organisation", "class"}

// ParseRequest parses the text form of a request that operators type, such as
// "POST /pledges organisation=x" or
// "model=certificate-8b organisation=x class=batch".
func ParseRequest(text string) (Request, error) {
	var q Request
	seen := map[string]bool{}
	for _, word := range strings.Fields(text) {
		field, value, isField := strings.Cut(word, "=")
		switch {
		case strings.HasPrefix(word, "/"):
			field, value = "path", word
		case !isField:
			field, value = "method", word
		}
		if seen[field] {
			return Request{}, fmt.Errorf("request: %s is given twice", field)
		}
		seen[field] = true
		if err := q.set(field, value); err != nil {
			return Request{}, err
		}
	}
	if q.Model == "" && (q.Method == "" || q.Path == "") {
		return Request{}, fmt.Errorf("request: needs either model=NAME or a method and a path")
	}
	if q.Model != "" && q.Path != "" {
		return Request{}, fmt.Errorf("request: has both a model and a path; give only one of them")
	}
	return q, nil
}

func (q *Request) set(field, value string) error {
	switch field {
	case "path":
		q.Path = value
	case "method":
		if !slices.Contains(methods, value) {
			return fmt.Errorf("request: unknown method %q%s", value, suggestion(value, methods))
		}
		q.Method = value
	case "model":
		q.Model = value
	case "organisation":
		q.Organisation = value
	case "class":
		class, ok := ParseClass(value)
		if !ok {
			return fmt.Errorf("request: unknown class %q (interactive or batch)", value)
		}
		q.Class = class
	default:
		return fmt.Errorf("request: unknown field %q%s", field, suggestion(field, requestFields))
	}
	return nil
}

// CheckRequest returns an error if r names an organisation that the file does not
// define. Real requests always have a defined organisation, as others are refused
// at authentication.
func (s *Set) CheckRequest(r Request) error {
	if r.Organisation == "" || s.Organisation(r.Organisation) != nil {
		return nil
	}
	return fmt.Errorf("request: organisation %q is not defined in the rules file%s",
		r.Organisation, suggestion(r.Organisation, sortedKeys(s.names.organisations)))
}

// String formats the request in the text form that ParseRequest reads.
func (q Request) String() string {
	words := []string{}
	if q.Model != "" {
		words = append(words, "model="+q.Model)
	} else {
		words = append(words, q.Method, q.Path)
	}
	if q.Organisation != "" {
		words = append(words, "organisation="+q.Organisation)
	}
	return strings.Join(append(words, "class="+q.Class.String()), " ")
}
