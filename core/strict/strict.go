// Package strict decodes TOML and rejects every key that the destination does
// not know, naming the nearest key that it does know.
//
// Invariant: a nil result means that each key of the input reached a field.
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
// still offered in place of an unknown one.
const maxSuggestionDistance = 3

// A Problem is one fault of the input, with its position and remedy.
type Problem struct {
	Line   int // 1-based
	Column int // 1-based; 0 when unknown
	What   string
	Remedy string
}

// Error returns the position, the fault and the remedy on one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.What, p.Remedy)
}

// Decode reads TOML into v, a pointer to a struct, and returns every unknown
// key. A syntax or type error ends the decoding and is returned alone.
func Decode(data []byte, v any) []*Problem {
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return unknownKeys(data, missing, reflect.TypeOf(v))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		what := strings.TrimPrefix(decode.Error(), "toml: ")
		return []*Problem{{Line: line, Column: column, What: what, Remedy: "correct the value as the documentation of this key shows"}}
	}
	return []*Problem{{Line: 1, What: err.Error(), Remedy: "write valid TOML"}}
}

func unknownKeys(data []byte, missing *toml.StrictMissingError, t reflect.Type) []*Problem {
	lines := strings.Split(string(data), "\n")
	var problems []*Problem
	for i := range missing.Errors {
		e := &missing.Errors[i]
		line, column := e.Position()
		path := keyPath(lines[line-1], e.Key())
		last := len(path) - 1
		problems = append(problems, &Problem{
			Line:   line,
			Column: column,
			What:   fmt.Sprintf("unknown key %q", strings.Join(path, ".")),
			Remedy: remedy(path[last], knownKeys(t, path[:last])),
		})
	}
	return problems
}

// keyPath returns the path of a key. The decoder leaves out the key whose
// inline table the unknown key stands in.
func keyPath(line string, key []string) []string {
	first, _, found := strings.Cut(line, "=")
	first = strings.TrimSpace(first)
	if !found || len(key) != 1 || first == key[0] {
		return key
	}
	return []string{first, key[0]}
}

func remedy(key string, known []string) string {
	if near := Nearest(key, known); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return "remove it, or use one of " + strings.Join(known, ", ")
}

// Nearest returns the member of known that is closest to name in spelling, or
// "" when none is close.
func Nearest(name string, known []string) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for _, k := range known {
		if d := levenshtein.Distance(name, k, nil); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// knownKeys returns the keys of the struct that path leads to, sorted.
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
		if Key(f) == path[0] {
			return knownKeys(f.Type, path[1:])
		}
	}
	return nil
}

func fieldKeys(t reflect.Type) []string {
	var keys []string
	for f := range t.Fields() {
		if k := Key(f); k != "" {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// Key returns the TOML key of a struct field, or "" for a field that TOML
// does not reach.
func Key(f reflect.StructField) string {
	tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	if tag == "-" {
		return ""
	}
	return tag
}
