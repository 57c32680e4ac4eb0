package checker_test

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/config/checker"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestCheck guards against an invalid document that comes into force. A document
// published through the API is checked without having passed the parser.
func TestCheck(t *testing.T) {
	digest := "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
	err := checker.Check(modeler.Document{
		Partitions: []modeler.Partition{{Name: "costa-1", Services: []string{}}, {Name: "costa-1", Region: "costa", Weight: 2000, Services: []string{"s", "s", "u"}}},
		Teams: []modeler.Team{
			{Name: "a", Share: 0, Limit: modeler.Resources{Millis: 1, Memory: -1}},
			{Name: "b", Share: 1, Limit: modeler.Resources{Millis: 1000, Memory: 1 << 30}, Keys: []modeler.Key{
				{Name: "one", Digest: digest}, {Name: "two", Digest: digest}, {Name: "three", Digest: "00"}, {},
			}},
		},
		Queues: []modeler.Queue{
			{Name: "open", Kind: modeler.WorkService, Class: modeler.ClassUrgent, Open: true},
			{Name: "closed", Kind: "burst", Class: "soon", Team: "nobody", Teams: []modeler.TeamID{"nobody"}},
			{Name: "jobs", Kind: modeler.WorkGang, Class: modeler.ClassUrgent, Teams: []modeler.TeamID{"a"},
				Depth: -1, Attempts: -1, Within: -1, Objective: modeler.Objective{Target: 1}},
		},
		Services: []modeler.Service{{Name: "s", Queue: "jobs", Timeout: 2 * time.Hour}, {Name: "t", Queue: "missing"}},
		Jobs: []modeler.Template{
			{Name: "x", Team: "b", Queue: "jobs", Tasks: 2, Needs: modeler.Resources{Millis: 600}},
			{Name: "y", Team: "nobody", Queue: "open", Deadline: modeler.Deadline{Clock: "06:00", Zone: "Nowhere"}},
		},
		Operators: []modeler.Operator{
			{Name: "amy", Keys: []modeler.Key{{Name: "stolen", Digest: digest, Withdrawn: true}}}, {Name: "amy"},
		},
	})
	goldie.New(t).Assert(t, "problems", []byte(err.Error()+"\n"))
	if err := checker.Check(modeler.Document{}); err == nil {
		t.Error("an empty document was accepted")
	}
}
