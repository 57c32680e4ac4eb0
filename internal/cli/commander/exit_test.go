package commander

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestCodeOf guards against commands that give the same failure different exit
// codes, and against changes of the codes, because scripts rely on them.
func TestCodeOf(t *testing.T) {
	conflict := modeler.NotRun(modeler.CodeConflict, 0, "another")
	cases := []struct {
		err                     error
		wanted, wantedPublished int
	}{
		{nil, 0, 0},
		{modeler.NotRun(modeler.CodeLogDown, time.Second, "outage"), 1, 1},
		{errors.Wrap(conflict, "request key r"), 1, 6},
		{asInputError(errors.New("not YAML")), 2, 2},
		{errors.Wrap(asInputError(errors.New("not YAML")), "file"), 2, 2},
		{modeler.Unknown(modeler.CodeLostAnswer, 0, "cut off"), 3, 3},
		{errors.New("decode answer"), 3, 3},
		{&modeler.Refusal{Outcome: modeler.OutcomeRan}, 4, 4},
		{errors.Wrap(errUnreachable, "dial"), 5, 5},
	}
	for _, c := range cases {
		if got := codeOf(c.err); got != c.wanted {
			t.Errorf("%v: exit code %d, want %d", c.err, got, c.wanted)
		}
		if got := codeOfPublication(c.err); got != c.wantedPublished {
			t.Errorf("publication: %v: exit code %d, want %d", c.err, got, c.wantedPublished)
		}
	}
}

// TestUnreachable guards against configuration commands that report an
// unreachable instance as a refusal or as invalid files, or the reverse.
func TestUnreachable(t *testing.T) {
	const server = " --server http://127.0.0.1:1"
	for _, line := range []string{
		"diff " + exampleDeployment, "publish " + exampleDeployment, "offsets", "key withdraw health lima", "report burn --key k", "report measures",
	} {
		if code, out := execute(line + server); code != codeUnreachable {
			t.Errorf("%s: exit code %d: %s", line, code, out)
		}
	}
	for _, line := range []string{"report burn --records nowhere " + exampleDeployment, "report burn --records exit.go " + exampleDeployment, "diff --base nowhere"} {
		if code, out := execute(line + server); code != codeUsage {
			t.Errorf("%s: exit code %d: %s", line, code, out)
		}
	}
}

// fullDisk is a writer whose disk is full.
type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errors.New("no space left") }

// TestExitCode_OutputNotWritten guards against exit code 0 of a command whose
// result could not be written.
func TestExitCode_OutputNotWritten(t *testing.T) {
	var out bytes.Buffer
	env := Env{Out: fullDisk{}, Err: &out, Client: http.DefaultClient, Now: time.Now}
	if code := run(context.Background(), "v1", []string{"version"}, env); code != codeUnknown {
		t.Error(fmt.Sprint("exit code ", code, ": ", out.String()))
	}
}
