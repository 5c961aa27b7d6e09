package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Error describes an invalid setting and its position in the file. Line counts
// from 1. Field is the path of the setting or, if the YAML cannot be decoded,
// the text of the token at fault; it may be empty.
type Error struct {
	File  string
	Line  int
	Field string
	Msg   string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Msg)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Msg)
}

// Role is the role that a process runs in.
type Role string

// Roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Load reads and validates the settings in file for a process of the given
// role. The error for settings that cannot be decoded or are invalid is an
// *Error.
func Load(file string, role Role) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return Parse(file, text, role)
}

// Parse is like Load for text that was already read; file is only used in errors.
func Parse(file string, text []byte, role Role) (*Settings, error) {
	s := Defaults()
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := dec.Decode(&s); err != nil {
		return nil, decodeError(file, err)
	}
	s.setRoleDefaults(role)
	if invalid := s.check(role); invalid != nil {
		return nil, &Error{File: file, Line: lineOf(text, invalid.field), Field: invalid.field, Msg: invalid.msg}
	}
	return &s, nil
}

// decodeError converts an error of the YAML decoder to an *Error.
func decodeError(file string, err error) error {
	var settingErr *Error
	if errors.As(err, &settingErr) {
		settingErr.File = file
		return settingErr
	}
	result := &Error{File: file, Line: 1, Msg: err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		result.Msg = yamlErr.GetMessage()
		if tok := yamlErr.GetToken(); tok != nil && tok.Position != nil {
			result.Line = tok.Position.Line
			result.Field = tok.Value
		}
	}
	return result
}

// lineOf returns the line of the field, or that of its closest ancestor in the
// file.
func lineOf(text []byte, field string) int {
	parsed, err := parser.ParseBytes(text, 0)
	if err != nil {
		return 1
	}
	for name := field; name != ""; name = parentOf(name) {
		path, err := yaml.PathString("$." + name)
		if err != nil {
			return 1
		}
		if node, err := path.FilterFile(parsed); err == nil && node != nil {
			return nodeLine(node)
		}
	}
	return 1
}

func nodeLine(node ast.Node) int {
	if tok := node.GetToken(); tok != nil && tok.Position != nil {
		return tok.Position.Line
	}
	return 1
}

// parentOf returns the path of the field's parent, or "" for a top-level field.
func parentOf(field string) string {
	for i := len(field) - 1; i >= 0; i-- {
		if field[i] == '.' {
			return field[:i]
		}
	}
	return ""
}

// fieldPath returns the path of node without the leading "$.".
func fieldPath(node ast.Node) string { return strings.TrimPrefix(node.GetPath(), "$.") }
