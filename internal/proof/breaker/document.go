package breaker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/caller"
)

// regions lists the regions of the cluster. Each has one partition.
var regions = []string{"costa", "sierra", "selva"}

// maxWithdrawals is the number of keys that one run may withdraw.
const maxWithdrawals = 4

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

// operatorSecret is the operator's key, used to read and publish configurations.
const operatorSecret = "chaos-operator"

// secret returns the secret of the n-th key of a team.
func secret(team string, n int) string { return fmt.Sprintf("chaos-%s-%d", team, n) }

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))

	return hex.EncodeToString(sum[:])
}

func callerTeam(team string) caller.Team {
	return caller.Team{Name: modeler.TeamID(team), Secret: secret(team, 0)}
}

// limits holds the upper limits of the teams, low enough that the load reaches
// them.
var limits = map[modeler.TeamID]modeler.Resources{
	teamBatch: {Millis: 48_000, Memory: 256 << 30},
	teamGang:  {Millis: 40_000, Memory: 256 << 30},
	teamCalls: {Slots: 48},
	teamProbe: {Slots: 12},
}

// document returns the configuration of the run. Most queues allow many
// attempts, because a run fails tasks on purpose and expects every job to finish.
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
		for n := range maxWithdrawals + 1 {
			team.Keys = append(team.Keys, modeler.Key{Name: fmt.Sprintf("key-%d", n), Digest: digest(secret(name, n))})
		}
		doc.Teams = append(doc.Teams, team)
	}

	return doc
}
