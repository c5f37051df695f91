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

// program is the path of the program under test.
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
	// addresses has the words of the first line of output, by their names.
	addresses map[string]string
}

// start runs a command that prints its addresses first, and ends it with the test.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(program, args...), addresses: map[string]string{}}
	p.command.Stderr = testWriter{t: t, prefix: args[0]}
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
	for word := range strings.FieldsSeq(line) {
		name, value, _ := strings.Cut(word, "=")
		p.addresses[name] = value
	}
	return p
}

// terminate asks the process to shut down gracefully and waits for its end.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.command.Wait())
}

// run runs a command to its end and returns its output and exit code.
func run(args ...string) (output string, code int) {
	command := exec.Command(program, args...)
	out, _ := command.CombinedOutput()
	return string(out), command.ProcessState.ExitCode()
}

// startNode runs a node on ports from the kernel.
func startNode(t *testing.T, name, log string, seeds ...string) *process {
	t.Helper()
	quoted := ""
	for _, sd := range seeds {
		quoted += `"` + sd + `",`
	}
	settings := `{"name": "` + name + `", "region": "bavaria", "centre": "west", "log": "` + log + `",
		"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0", "seeds": [` + quoted + `]}`
	file := filepath.Join(t.TempDir(), name+".json")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	return start(t, "node", "-settings", file)
}

// testWriter passes a process's log lines on to the test's.
type testWriter struct {
	t      *testing.T
	prefix string
}

func (w testWriter) Write(data []byte) (int, error) {
	if !strings.Contains(string(data), "node cannot be told") {
		w.t.Logf("%s: %s", w.prefix, strings.TrimSpace(string(data)))
	}
	return len(data), nil
}
