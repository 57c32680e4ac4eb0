package router

import (
	"net/http"
	"strings"
	"testing"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	operatorKey      = "Bearer amy-secret"
	publishOnOffset7 = `{"parent":7,"document":{"cell":"humo-andino"}}`
)

// newFakeCellWithOperator returns a fakeCell whose configuration has an operator.
func newFakeCellWithOperator() *fakeCell {
	cell := newFakeCell()
	cell.doc.Operators = []modeler.Operator{{Name: "amy", Keys: []modeler.Key{
		{Name: "laptop", Digest: digest("amy-secret")}, {Name: "stolen", Digest: digest("amy-old-key"), Withdrawn: true},
	}}}
	for i := range cell.loads {
		cell.loads[i].Usage = map[modeler.TeamID]modeler.Resources{"apchf": {Millis: 1}}
		cell.loads[i].Idle = map[modeler.TeamID]modeler.Resources{"apchf": {Millis: 1}}
	}

	return cell
}

// TestRouter_OperatorKeys guards against a configuration that is read or
// published without the key of an operator.
func TestRouter_OperatorKeys(t *testing.T) {
	for _, c := range []struct {
		key    string
		status int
		code   modeler.Code
	}{
		{"", http.StatusUnauthorized, modeler.CodeBadKey},
		{"Bearer nobody-has-this", http.StatusUnauthorized, modeler.CodeUnknownKey},
		{"Bearer amy-old-key", http.StatusUnauthorized, modeler.CodeWithdrawnKey},
		{goodKey, http.StatusForbidden, modeler.CodeWrongTeam},
		{operatorKey, http.StatusOK, ""},
	} {
		cell := newFakeCellWithOperator()
		for _, line := range []string{"GET /v1/config", "PUT /v1/config"} {
			got := cell.send(line, publishOnOffset7, "Authorization", c.key, HeaderOperator, "mallory")
			if got.Code != c.status || !strings.Contains(got.Body.String(), string(c.code)) {
				t.Errorf("%s with %q: status %d: %s", line, c.key, got.Code, got.Body)
			}
		}
		if want := map[bool]string{true: "amy"}[c.status == http.StatusOK]; cell.publisher != want {
			t.Errorf("with %q: published by %q, want %q", c.key, cell.publisher, want)
		}
	}
}

// TestRouter_FirstDocument guards against a cell that cannot be set up, and
// against an instance without a configuration that accepts any publication based
// on a document that it has not read.
func TestRouter_FirstDocument(t *testing.T) {
	cell := newFakeCellWithOperator()
	cell.offset = -1
	got := cell.send("PUT /v1/config", `{"parent":-1,"document":{"cell":"a"}}`)
	// The publisher of this fake cell has offset 7 in force.
	if got.Code != http.StatusConflict {
		t.Errorf("first document: status %d: %s", got.Code, got.Body)
	}
	if got := cell.send("PUT /v1/config", publishOnOffset7); got.Code != http.StatusServiceUnavailable || cell.publisher != "" {
		t.Errorf("parent that was not read: status %d: %s", got.Code, got.Body)
	}
	cell = newFakeCell()
	cell.send("PUT /v1/config", publishOnOffset7, HeaderOperator, "bob")
	if cell.publisher != "bob" {
		t.Errorf("without operators: published by %q", cell.publisher)
	}
}

// TestRouter_State guards against showing the usage of teams to anyone, and
// against a response that lacks ownership and readiness without a key.
func TestRouter_State(t *testing.T) {
	cell := newFakeCellWithOperator()
	for _, key := range []string{"", goodKey} {
		got := cell.send("GET /v1/state", "", "Authorization", key).Body.String()
		if strings.Contains(got, "apchf") || !strings.Contains(got, `"partition":"costa-1","term":256,"ready":true`) {
			t.Errorf("with %q: %s", key, got)
		}
	}
	if got := cell.send("GET /v1/state", "", "Authorization", operatorKey).Body.String(); !strings.Contains(got, `"usage":{"apchf"`) {
		t.Errorf("with the key of an operator: %s", got)
	}
}
