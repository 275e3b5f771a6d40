// Package strict decodes TOML, rejects keys without a matching struct field and
// suggests the known key that is closest in spelling.
//
// Invariant: if Decode returns nil, each key of the input was stored in a field.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/pelletier/go-toml/v2"
)

// maxSuggestionDistance is the largest edit distance at which a known key is
// suggested in place of an unknown one.
const maxSuggestionDistance = 3

// A Problem is one error in the input, with its position and a remedy.
type Problem struct {
	Line    int // 1-based
	Column  int // 1-based; 0 when unknown
	Message string
	Remedy  string
}

// Error returns the line, the message and the remedy.
func (p *Problem) Error() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Message, p.Remedy)
}

// Decode decodes TOML into v, a pointer to a struct, and returns a Problem for
// every unknown key. A syntax or type error ends the decoding and is then the only
// Problem.
func Decode(data []byte, v any) []*Problem {
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var missingErr *toml.StrictMissingError
	if errors.As(err, &missingErr) {
		return unknownKeys(data, missingErr, reflect.TypeOf(v))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		message := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		return []*Problem{{Line: line, Column: column, Message: message, Remedy: "correct the value as described in the documentation of this key"}}
	}
	return []*Problem{{Line: 1, Message: err.Error(), Remedy: "write valid TOML"}}
}

func unknownKeys(data []byte, missingErr *toml.StrictMissingError, t reflect.Type) []*Problem {
	lines := strings.Split(string(data), "\n")
	var problems []*Problem
	for i := range missingErr.Errors {
		e := &missingErr.Errors[i]
		line, column := e.Position()
		path := keyPath(lines[line-1], e.Key())
		last := len(path) - 1
		problems = append(problems, &Problem{
			Line:    line,
			Column:  column,
			Message: fmt.Sprintf("unknown key %q", strings.Join(path, ".")),
			Remedy:  unknownKeyRemedy(path[last], knownKeys(t, path[:last])),
		})
	}
	return problems
}

// keyPath returns the full path of an unknown key. For a key in an inline table,
// the decoder reports only the key itself; keyPath adds the key that the table is
// assigned to.
func keyPath(line string, key []string) []string {
	first, _, found := strings.Cut(line, "=")
	first = strings.TrimSpace(first)
	if !found || len(key) != 1 || first == key[0] {
		return key
	}
	return []string{first, key[0]}
}

func unknownKeyRemedy(key string, known []string) string {
	if near := Nearest(key, known); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return "remove it, or use one of " + strings.Join(known, ", ")
}

// Nearest returns the member of known that is closest to name in spelling, or
// "" if none is within maxSuggestionDistance.
func Nearest(name string, known []string) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for _, k := range known {
		if d := levenshtein.Distance(name, k, nil); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// knownKeys returns the sorted TOML keys of the struct at path, or nil if path
// does not end at a struct.
func knownKeys(t reflect.Type, path []string) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	if len(path) == 0 {
		return fieldKeys(t)
	}
	for f := range t.Fields() {
		if TOMLKey(f) == path[0] {
			return knownKeys(f.Type, path[1:])
		}
	}
	return nil
}

func fieldKeys(t reflect.Type) []string {
	var keys []string
	for f := range t.Fields() {
		if k := TOMLKey(f); k != "" {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// TOMLKey returns the TOML key of a struct field, or "" for a field that is not
// decoded.
func TOMLKey(f reflect.StructField) string {
	tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	if tag == "-" {
		return ""
	}
	return tag
}
