// Package merger merges the base file with the overlays of some or all sites into
// the document that is published.
package merger

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Result is a merged document with the file positions of its parts.
type Result struct {
	Document modeler.Document
	// Positions maps a path such as queues/lookups/depth to the position that set it
	// last, and a path such as queues/lookups to the declaration of the entry.
	Positions map[string]parser.Position
}

// Locate returns the position of path, or of the nearest enclosing part that has
// one.
func (r Result) Locate(path string) (parser.Position, bool) {
	for {
		if position, ok := r.Positions[path]; ok {
			return position, true
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return parser.Position{}, false
		}
		path = path[:cut]
	}
}

// Load reads and merges a deployment directory: base.yaml and the files
// overlays/SITE.yaml of the named sites, or of all sites if none is named. The
// problems of all files are returned together as parser.Problems.
func Load(dir string, sites ...string) (Result, error) {
	paths, err := overlayPaths(dir, sites)
	if err != nil {
		return Result{}, err
	}

	return LoadFiles(filepath.Join(dir, "base.yaml"), paths...)
}

// overlayPaths returns the paths of the overlays of the named sites, or of all.
func overlayPaths(dir string, sites []string) ([]string, error) {
	if len(sites) == 0 {
		paths, err := filepath.Glob(filepath.Join(dir, "overlays", "*.yaml"))

		return paths, errors.Wrap(err, "list overlays")
	}
	paths := make([]string, 0, len(sites))
	for _, site := range sites {
		path := filepath.Join(dir, "overlays", site+".yaml")
		if _, err := os.Stat(path); err != nil {
			return nil, errors.Wrapf(err, "site %q has no overlay", site)
		}
		paths = append(paths, path)
	}

	return paths, nil
}

// LoadFiles reads and merges a base file and overlays, like Load.
func LoadFiles(base string, overlays ...string) (Result, error) {
	var problems parser.Problems
	read := func(parse func(string) (parser.File, error), path string) (parser.File, error) {
		file, err := parse(path)
		var found parser.Problems
		if errors.As(err, &found) {
			problems = append(problems, found...)

			return file, nil
		}

		return file, err
	}
	first, err := read(parser.ReadBase, base)
	if err != nil {
		return Result{}, err
	}
	files := make([]parser.File, 0, len(overlays))
	for _, path := range overlays {
		file, err := read(parser.ReadOverlay, path)
		if err != nil {
			return Result{}, err
		}
		files = append(files, file)
	}
	if err := problems.Err(); err != nil {
		return Result{}, err
	}

	return Merge(first, files...)
}

// Merge applies the overlays to the base file. An overlay may change only entries
// that the base file declares and only partitions of its own site, and may not set
// a field to another value than an earlier overlay. Violations are returned as
// parser.Problems.
func Merge(base parser.File, overlays ...parser.File) (Result, error) {
	m := &merge{positions: map[string]parser.Position{}, overlayPositions: map[string]parser.Position{}}
	file := clone(base)
	m.indexPositions(file)
	sites := map[string]parser.Position{}
	for _, overlay := range overlays {
		if first, duplicate := sites[overlay.Site.Value]; duplicate {
			m.addProblem(overlay.Site.At, "site "+overlay.Site.Value+" has a second overlay; the first is "+first.String())
		}
		sites[overlay.Site.Value] = overlay.Site.At
		m.applyOverlay(&file, overlay)
	}
	if err := m.problems.Err(); err != nil {
		return Result{}, err
	}

	return Result{Document: toDocument(file), Positions: m.positions}, nil
}

// clone copies the lists of a file, so that merging does not change the base.
func clone(file parser.File) parser.File {
	file.Partitions = slices.Clone(file.Partitions)
	file.Teams = slices.Clone(file.Teams)
	for i := range file.Teams {
		file.Teams[i].Keys = slices.Clone(file.Teams[i].Keys)
	}
	file.Queues = slices.Clone(file.Queues)
	file.Services = slices.Clone(file.Services)
	file.Jobs = slices.Clone(file.Jobs)
	file.Operators = slices.Clone(file.Operators)
	for i := range file.Operators {
		file.Operators[i].Keys = slices.Clone(file.Operators[i].Keys)
	}

	return file
}

// merge holds the state of one merge.
type merge struct {
	problems  parser.Problems
	positions map[string]parser.Position
	// overlayPositions maps each path that an overlay has set to its position.
	overlayPositions map[string]parser.Position
}

// addProblem records a problem.
func (m *merge) addProblem(at parser.Position, reason string) {
	m.problems = append(m.problems, parser.Problem{At: at, Reason: reason})
}

// overrideField replaces field by over if over is set.
func overrideField[T any](m *merge, path string, field *parser.Field[T], over parser.Field[T]) {
	if !over.Set {
		return
	}
	if first, duplicate := m.overlayPositions[path]; duplicate && !reflect.DeepEqual(field.Value, over.Value) {
		m.addProblem(over.At, path+" is already set to another value by the overlay at "+first.String())

		return
	}
	m.overlayPositions[path], m.positions[path] = over.At, over.At
	*field = over
}

// matchEntries calls apply for each entry of an overlay's list, with the entry of
// the base list that has the same name.
func matchEntries[T any](
	m *merge, path string, base, over []T, name func(T) parser.Field[string], apply func(string, *T, T),
) {
	for _, change := range over {
		key := name(change)
		i := slices.IndexFunc(base, func(entry T) bool { return name(entry).Value == key.Value })
		if i < 0 {
			m.addProblem(key.At, path+"/"+key.Value+" is not in the base file")

			continue
		}
		apply(path+"/"+key.Value, &base[i], change)
	}
}
