package parser

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a place in a configuration file. Lines and columns count from 1.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String formats the position as file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Problem is an error in a configuration file.
type Problem struct {
	At     Position `json:"at"`
	Reason string   `json:"reason"`
}

// String formats the problem as a single line.
func (p Problem) String() string { return p.At.String() + ": " + p.Reason }

// Problems is the error type for all problems that were found.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}

	return strings.Join(lines, "\n")
}

// Err returns the problems sorted by file and position, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	sorted := slices.Clone(p)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.At.File, b.At.File), a.At.Line-b.At.Line, a.At.Column-b.At.Column)
	})

	return sorted
}
