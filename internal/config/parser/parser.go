// Package parser reads the operator's base file and the overlays of the sites.
// It is strict: unknown fields, repeated names and quantities out of range are
// errors. All problems of a file are reported together, each with file, line,
// column and reason.
package parser

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// maxSize is the maximum size of a configuration file in bytes. The target size
// of 390 teams needs less than a megabyte.
const maxSize = 16 << 20

// ReadBase reads a base file. Problems of its contents are returned as Problems.
func ReadBase(path string) (File, error) { return readFile(path, false) }

// ReadOverlay reads the overlay of a site, like ReadBase.
func ReadOverlay(path string) (File, error) { return readFile(path, true) }

// ParseBase parses the text of a base file. path is the file name in problems.
func ParseBase(path string, data []byte) (File, error) { return parse(path, data, false) }

// ParseOverlay parses the text of an overlay, like ParseBase.
func ParseOverlay(path string, data []byte) (File, error) { return parse(path, data, true) }

// readFile reads and parses a file.
func readFile(path string, overlay bool) (File, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return File{}, errors.Wrap(err, "read configuration")
	}

	return parse(path, data, overlay)
}

// parse parses the text of a file. It returns an empty File if there is any
// problem.
func parse(path string, data []byte, overlay bool) (File, error) {
	r := &reader{file: path, overlay: overlay}
	top := Position{File: path, Line: 1, Column: 1}
	if len(data) > maxSize {
		return File{}, Problems{{At: top, Reason: "the file is larger than 16 MiB"}}
	}
	tree, err := yamlparser.ParseBytes(data, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		return File{}, Problems{syntaxProblem(top, err)}
	}
	bodies := make([]ast.Node, 0, 1)
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) != 1 {
		return File{}, Problems{{At: top, Reason: "the file must hold exactly one YAML document"}}
	}
	file := r.readTopLevel(bodies[0])
	if err := r.problems.Err(); err != nil {
		return File{}, err
	}

	return file, nil
}

// syntaxProblem converts an error of the YAML library to a problem.
func syntaxProblem(top Position, err error) Problem {
	problem := Problem{At: top, Reason: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		problem.Reason = located.GetMessage()
		if token := located.GetToken(); token != nil && token.Position != nil {
			problem.At.Line, problem.At.Column = token.Position.Line, token.Position.Column
		}
	}

	return problem
}
