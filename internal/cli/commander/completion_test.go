package commander

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// TestCompletion_Bash guards against a script that bash rejects, and against
// words that the completed command does not have.
func TestCompletion_Bash(t *testing.T) {
	bash, err := exec.LookPath("bash")
	if err != nil {
		t.Fatal("this test needs bash, as .ci/run does")
	}
	code, script := execute("completion bash")
	if code != codeOK {
		t.Fatalf("exit code %d: %s", code, script)
	}
	cases := []struct {
		line string
		want []string
	}{
		{"ver", []string{"verify", "version"}},
		{"key ", []string{"--help", "grant", "new", "withdraw"}},
		{"key grant --d", []string{"--digest"}},
		{"submit --job plume --run", []string{"--runtime"}},
		{"report burn --dep", []string{"--deployment"}},
		{"report measures --dep", nil},
		{"wait j-1 --ti", []string{"--timeout"}},
		{"nonsense --", nil},
	}
	for _, c := range cases {
		words := strings.Split("greengagewall "+c.line, " ")
		line := script + "\nCOMP_WORDS=(\"$@\"); COMP_CWORD=$(($# - 1)); _greengagewall; printf '%s\\n' \"${COMPREPLY[@]}\""
		out, err := exec.Command(bash, append([]string{"-c", line, "bash"}, words...)...).CombinedOutput()
		got := strings.Fields(string(out))
		slices.Sort(got)
		if err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%q: %v, want %v: %v", c.line, got, c.want, err)
		}
	}
}

// TestCompletion_Shells guards against output for an unknown shell, and against
// a zsh script that does not load the bash completion.
func TestCompletion_Shells(t *testing.T) {
	if code, out := execute("completion fish"); code != codeUsage || !strings.Contains(out, "bash or zsh") {
		t.Errorf("exit code %d: %s", code, out)
	}
	if code, out := execute("completion zsh"); code != codeOK || !strings.HasPrefix(out, "autoload -U +X bashcompinit") {
		t.Errorf("exit code %d: %s", code, out)
	}
}
