package commander

import (
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/config/checker"
	"gitlab.com/greengagewall/greengagewall/internal/config/merger"
	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
)

// Source selects the configuration files: a deployment directory, or a base
// file with overlays.
type Source struct {
	Deployment string   `arg:"--deployment" help:"directory with base.yaml and overlays/SITE.yaml"`
	Site       []string `arg:"--site,separate" help:"apply the overlay of this site only; may be repeated"`
	Base       string   `arg:"--base" help:"base file, instead of --deployment"`
	Overlay    []string `arg:"--overlay,separate" help:"overlay file, with --base; may be repeated"`
}

// load reads, merges and checks the files. Problems of the merged document are
// returned as parser.Problems with their positions.
func (s Source) load() (merger.Result, error) {
	result, err := s.merge()
	if err != nil {
		return merger.Result{}, err
	}
	var invalid checker.Problems
	if err := checker.Check(result.Document); !errors.As(err, &invalid) {
		return result, err
	}
	problems := make(parser.Problems, len(invalid))
	for i, problem := range invalid {
		at, ok := result.Locate(problem.Path)
		if !ok {
			at = result.Positions["cell"]
		}
		problems[i] = parser.Problem{At: at, Reason: problem.String()}
	}

	return merger.Result{}, problems.Err()
}

// merge reads and merges the files.
func (s Source) merge() (merger.Result, error) {
	switch {
	case s.Deployment != "" && (s.Base != "" || len(s.Overlay) > 0):
		return merger.Result{}, errors.New("give either --deployment or --base with --overlay")
	case s.Deployment != "":
		return merger.Load(s.Deployment, s.Site...)
	case s.Base == "":
		return merger.Result{}, errors.New("give --deployment or --base")
	case len(s.Site) > 0:
		return merger.Result{}, errors.New("--site needs --deployment")
	}

	return merger.LoadFiles(s.Base, s.Overlay...)
}
