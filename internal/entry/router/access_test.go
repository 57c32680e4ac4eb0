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
	w := newFakeCell()
	w.doc.Operators = []modeler.Operator{{Name: "amy", Keys: []modeler.Key{
		{Name: "laptop", Digest: digest("amy-secret")}, {Name: "stolen", Digest: digest("amy-old-key"), Withdrawn: true},
	}}}
	for i := range w.loads {
		w.loads[i].Usage = map[modeler.TeamID]modeler.Resources{"apchf": {Millis: 1}}
		w.loads[i].Idle = map[modeler.TeamID]modeler.Resources{"apchf": {Millis: 1}}
	}

	return w
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
		w := newFakeCellWithOperator()
		for _, line := range []string{"GET /v1/config", "PUT /v1/config"} {
			got := w.send(line, publishOnOffset7, "Authorization", c.key, HeaderOperator, "mallory")
			if got.Code != c.status || !strings.Contains(got.Body.String(), string(c.code)) {
				t.Errorf("%s with %q: status %d: %s", line, c.key, got.Code, got.Body)
			}
		}
		if want := map[bool]string{true: "amy"}[c.status == http.StatusOK]; w.publisher != want {
			t.Errorf("with %q: published by %q, want %q", c.key, w.publisher, want)
		}
	}
}

// TestRouter_FirstDocument guards against a cell that cannot be set up, and
// against an instance without a configuration that accepts any publication based
// on a document that it has not read.
func TestRouter_FirstDocument(t *testing.T) {
	w := newFakeCellWithOperator()
	w.offset = -1
	got := w.send("PUT /v1/config", `{"parent":-1,"document":{"cell":"a"}}`)
	// The publisher of this fake cell has offset 7 in force.
	if got.Code != http.StatusConflict {
		t.Errorf("first document: status %d: %s", got.Code, got.Body)
	}
	if got := w.send("PUT /v1/config", publishOnOffset7); got.Code != http.StatusServiceUnavailable || w.publisher != "" {
		t.Errorf("parent that was not read: status %d: %s", got.Code, got.Body)
	}
	w = newFakeCell()
	w.send("PUT /v1/config", publishOnOffset7, HeaderOperator, "bob")
	if w.publisher != "bob" {
		t.Errorf("without operators: published by %q", w.publisher)
	}
}

// TestRouter_State guards against showing the usage of teams to anyone, and
// against a response that lacks ownership and readiness without a key.
func TestRouter_State(t *testing.T) {
	w := newFakeCellWithOperator()
	for _, key := range []string{"", goodKey} {
		got := w.send("GET /v1/state", "", "Authorization", key).Body.String()
		if strings.Contains(got, "apchf") || !strings.Contains(got, `"partition":"costa-1","term":256,"ready":true`) {
			t.Errorf("with %q: %s", key, got)
		}
	}
	if got := w.send("GET /v1/state", "", "Authorization", operatorKey).Body.String(); !strings.Contains(got, `"usage":{"apchf"`) {
		t.Errorf("with the key of an operator: %s", got)
	}
}
