package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Field is a value that may be unset, with its position in the file.
type Field[T any] struct {
	Value T
	Set   bool
	At    Position
}

// reader reads the syntax tree of one file and collects its problems.
type reader struct {
	file     string
	overlay  bool
	problems Problems
	// field is the name of the field that is being read.
	field string
}

// fieldSpec describes a field of a mapping.
type fieldSpec struct {
	name string
	read func(ast.Node)
	// required fields must be present in a base file.
	required bool
	// baseOnly fields cannot be set in an overlay.
	baseOnly bool
}

// at returns the position of a node. It uses the first key of a mapping, because
// the token of a mapping node is its first colon.
func (r *reader) at(node ast.Node) Position {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 && !mapping.IsFlowStyle {
		node = mapping.Values[0].Key
	}
	if pair, ok := node.(*ast.MappingValueNode); ok {
		node = pair.Key
	}
	position := Position{File: r.file, Line: 1, Column: 1}
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return position
	}
	position.Line, position.Column = node.GetToken().Position.Line, node.GetToken().Position.Column

	return position
}

// failf adds a problem.
func (r *reader) failf(at Position, format string, args ...any) {
	r.problems = append(r.problems, Problem{At: at, Reason: fmt.Sprintf(format, args...)})
}

// readMapping reads the fields of a mapping. what names the mapping in problems.
func (r *reader) readMapping(node ast.Node, what string, specs []fieldSpec) {
	var pairs []*ast.MappingValueNode
	switch node := node.(type) {
	case *ast.MappingNode:
		pairs = node.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{node}
	default:
		r.failf(r.at(node), "%s must be a mapping", what)

		return
	}
	seen := map[string]bool{}
	for _, pair := range pairs {
		r.readPair(pair, what, specs, seen)
	}
	for _, spec := range specs {
		if spec.required && !r.overlay && !seen[spec.name] {
			r.failf(r.at(node), "%s needs the field %q", what, spec.name)
		}
	}
}

// readPair reads one field of a mapping. seen holds the names of the fields read
// before it.
func (r *reader) readPair(pair *ast.MappingValueNode, what string, specs []fieldSpec, seen map[string]bool) {
	key := pair.Key.String()
	at := r.at(pair)
	i := slices.IndexFunc(specs, func(s fieldSpec) bool { return s.name == key })
	switch {
	case i < 0:
		r.failf(at, "%s has no field %q; its fields are %s", what, key, fieldNames(specs))
	case seen[key]:
		r.failf(at, "%s has the field %q twice", what, key)
	case r.overlay && specs[i].baseOnly:
		r.failf(at, "an overlay cannot change the field %q of %s", key, what)
	default:
		r.field = key
		specs[i].read(pair.Value)
	}
	seen[key] = true
}

// fieldNames returns a comma-separated list of the names of fields.
func fieldNames(specs []fieldSpec) string {
	list := make([]string, len(specs))
	for i, spec := range specs {
		list[i] = spec.name
	}

	return strings.Join(list, ", ")
}

// readSequence calls read for each item of a list. what names the list in problems.
func (r *reader) readSequence(node ast.Node, what string, read func(ast.Node)) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		r.failf(r.at(node), "%s must be a list", what)

		return
	}
	for _, item := range list.Values {
		read(item)
	}
}

// scalarText returns the text of a scalar node, or false for any other node.
func (r *reader) scalarText(node ast.Node) (string, bool) {
	switch node := node.(type) {
	case *ast.StringNode:
		return node.Value, true
	case *ast.LiteralNode, *ast.NullNode, *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		return "", false
	case ast.ScalarNode:
		return node.GetToken().Value, true
	}

	return "", false
}

// readScalar returns a function that converts a scalar with convert and stores it
// in field.
func readScalar[T any](r *reader, field *Field[T], convert func(string) (T, error)) func(ast.Node) {
	return func(node ast.Node) {
		at := r.at(node)
		text, ok := r.scalarText(node)
		if !ok {
			r.failf(at, "%s: a single value is needed here", r.field)

			return
		}
		converted, err := convert(text)
		if err != nil {
			r.failf(at, "%s: %v", r.field, err)

			return
		}
		*field = Field[T]{Value: converted, Set: true, At: at}
	}
}

// readScalars returns a function that reads a list of scalars into field.
func readScalars[T any](r *reader, field *Field[[]T], what string, convert func(string) (T, error)) func(ast.Node) {
	return func(node ast.Node) {
		field.Set, field.At, field.Value = true, r.at(node), []T{}
		r.readSequence(node, what, func(item ast.Node) {
			var one Field[T]
			readScalar(r, &one, convert)(item)
			field.Value = append(field.Value, one.Value)
		})
	}
}

// readItems returns a function that reads a list of mappings with unique names.
func readItems[T any](r *reader, list *[]T, what string, read func(ast.Node) T, name func(T) Field[string]) func(ast.Node) {
	return func(node ast.Node) {
		seen := map[string]Position{}
		r.readSequence(node, what+"s", func(item ast.Node) {
			one := read(item)
			*list = append(*list, one)
			key := name(one)
			if first, duplicate := seen[key.Value]; duplicate && key.Set {
				r.failf(key.At, "%s %q is declared twice, first at line %d", what, key.Value, first.Line)
			}
			if !key.Set && r.overlay {
				r.failf(r.at(item), "%s needs the field %q", what, nameField)
			}
			seen[key.Value] = key.At
		})
	}
}

// integerBetween returns a conversion that accepts whole numbers from low to high.
func integerBetween(low, high int64) func(string) (int64, error) {
	return func(text string) (int64, error) {
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number", text)
		}
		if number < low || number > high {
			return 0, fmt.Errorf("%d is out of range %d to %d", number, low, high)
		}

		return number, nil
	}
}

// parseFraction accepts a number greater than 0 and less than 1.
func parseFraction(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a number", text)
	}
	if !(number > 0 && number < 1) {
		return 0, fmt.Errorf("%s is out of range: it must be above 0 and below 1", text)
	}

	return number, nil
}

// parseBool accepts true and false.
func parseBool(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}

	return false, fmt.Errorf("%q is neither true nor false", text)
}

// parseName accepts a name of lower-case letters, digits and hyphens.
func parseName(text string) (string, error) {
	if !namePattern.MatchString(text) {
		return "", fmt.Errorf("%q is not a name: use up to 63 lower-case letters, digits and hyphens", text)
	}

	return text, nil
}

// anyText accepts any text.
func anyText(text string) (string, error) { return text, nil }

// oneOf returns a conversion that accepts only the listed words.
func oneOf(words ...string) func(string) (string, error) {
	return func(text string) (string, error) {
		if !slices.Contains(words, text) {
			return "", fmt.Errorf("%q is not one of %s", text, strings.Join(words, ", "))
		}

		return text, nil
	}
}
