package breaker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/caller"
)

// regions are the regions of the cluster, each with one partition.
var regions = []string{"costa", "sierra", "selva"}

// probes is the number of keys that a run may withdraw.
const probes = 4

// The teams, queues and services of the run.
const (
	teamBatch = "reanalyses"
	teamGang  = "forecasts"
	teamCalls = "health"
	teamProbe = "crops"

	queueBatch = "batch"
	queueGang  = "gang"
	queueOnce  = "once"
	queueCalls = "calls"
)

var (
	lookup = caller.Service{Name: "lookup", Idempotent: true}
	alert  = caller.Service{Name: "alert"}
)

// operatorSecret is the key that configurations are read and published with.
const operatorSecret = "chaos-operator"

// secret returns the key of a team.
func secret(team string, n int) string { return fmt.Sprintf("chaos-%s-%d", team, n) }

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))

	return hex.EncodeToString(sum[:])
}

func teamOf(team string) caller.Team {
	return caller.Team{Name: modeler.TeamID(team), Secret: secret(team, 0)}
}

// limits are low enough for the work to reach them.
var limits = map[modeler.TeamID]modeler.Resources{
	teamBatch: {Millis: 48_000, Memory: 256 << 30},
	teamGang:  {Millis: 40_000, Memory: 256 << 30},
	teamCalls: {Slots: 48},
	teamProbe: {Slots: 12},
}

// document returns the configuration of the run. Attempts are many, because a
// run fails tasks on purpose and then expects every job to finish.
func document() modeler.Document {
	doc := modeler.Document{
		Cell: "chaos",
		Queues: []modeler.Queue{
			{Name: queueBatch, Kind: modeler.WorkBatch, Class: modeler.ClassStandard, Attempts: 100},
			{Name: queueGang, Kind: modeler.WorkGang, Class: modeler.ClassUrgent, Attempts: 100},
			{Name: queueOnce, Kind: modeler.WorkBatch, Class: modeler.ClassUrgent, Attempts: 1},
			{Name: queueCalls, Kind: modeler.WorkService, Class: modeler.ClassUrgent},
		},
		Services: []modeler.Service{
			{Name: lookup.Name, Queue: queueCalls, Idempotent: true, Timeout: 3 * time.Second},
			{Name: alert.Name, Queue: queueCalls, Timeout: 5 * time.Second},
		},
	}
	doc.Operators = []modeler.Operator{{
		Name: "chaos", Keys: []modeler.Key{{Name: "run", Digest: digest(operatorSecret)}},
	}}
	for _, region := range regions {
		doc.Partitions = append(doc.Partitions, modeler.Partition{
			Name: modeler.PartitionID(region + "-1"), Region: region, Weight: 1,
		})
	}
	for _, name := range []string{teamBatch, teamGang, teamCalls, teamProbe} {
		team := modeler.Team{Name: modeler.TeamID(name), Share: 10, Limit: limits[modeler.TeamID(name)]}
		for n := range probes + 1 {
			team.Keys = append(team.Keys, modeler.Key{Name: fmt.Sprintf("key-%d", n), Digest: digest(secret(name, n))})
		}
		doc.Teams = append(doc.Teams, team)
	}

	return doc
}
