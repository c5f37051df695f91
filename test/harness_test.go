package test

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// program is the path of the carobknot binary, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "carobknot")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "carobknot")
	build := exec.Command("go", "build", "-o", program, "../cmd/carobknot")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is a running carobknot process.
type process struct {
	command *exec.Cmd
	// addresses holds the name=value pairs of the first line of output, such as the
	// address of each port.
	addresses map[string]string
}

// start starts a command that prints its addresses on its first line of output, and
// kills it at the end of the test.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(program, args...), addresses: map[string]string{}}
	p.command.Stderr = logWriter{t: t, prefix: args[0]}
	out, err := p.command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.command.Start())
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	go func() { _, _ = io.Copy(io.Discard, out) }()
	for pair := range strings.FieldsSeq(line) {
		name, value, _ := strings.Cut(pair, "=")
		p.addresses[name] = value
	}
	return p
}

// terminate shuts the process down with SIGTERM and requires exit code 0.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.command.Wait())
}

// run runs a command to its end and returns its output, with standard error, and
// exit code.
func run(args ...string) (output string, code int) {
	command := exec.Command(program, args...)
	out, _ := command.CombinedOutput()
	return string(out), command.ProcessState.ExitCode()
}

// startNode starts a node on ports that the kernel selects.
func startNode(t *testing.T, name, log string, seeds ...string) *process {
	t.Helper()
	quoted := ""
	for _, seed := range seeds {
		quoted += `"` + seed + `",`
	}
	return startNodeWith(t, name, log, `"seeds": [`+quoted+`]`)
}

// startNodeWith starts a node with more settings than those that every node needs.
func startNodeWith(t *testing.T, name, log, more string) *process {
	t.Helper()
	settings := `{"name": "` + name + `", "region": "bavaria", "centre": "west", "log": "` + log + `",
		"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0", ` + more + `}`
	file := filepath.Join(t.TempDir(), name+".json")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	return start(t, "node", "-settings", file)
}

// logWriter writes the log of a process to the log of the test. It omits the warning
// of a target that cannot reach its node, which repeats while the node is down.
type logWriter struct {
	t      *testing.T
	prefix string
}

func (w logWriter) Write(data []byte) (int, error) {
	if !strings.Contains(string(data), "node cannot be told") {
		w.t.Logf("%s: %s", w.prefix, strings.TrimSpace(string(data)))
	}
	return len(data), nil
}
