//go:build capacity

package capacity

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobtimer"
)

// process is a running carobknot process. addresses holds the addresses that it printed at
// its start, by name.
type process struct {
	command   *exec.Cmd
	addresses map[string]string
}

func startProcess(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(program, args...), addresses: map[string]string{}}
	out, err := p.command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.command.Start())
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	for word := range strings.FieldsSeq(line) {
		name, value, _ := strings.Cut(word, "=")
		p.addresses[name] = value
	}
	return p
}

// usage is what a process has used since its start.
type usage struct {
	processor time.Duration
	// resident is the resident memory in KiB, and written the bytes written.
	resident int
	written  int
}

// readUsage reads the usage of the process from /proc.
func (p *process) readUsage(t *testing.T) usage {
	t.Helper()
	folder := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	read := func(name string) string {
		data, err := os.ReadFile(filepath.Join(folder, name))
		require.NoError(t, err)
		return string(data)
	}
	number := func(text string) int {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		return n
	}
	// Fields 14 and 15 of stat, in clock ticks of 10 ms; the index is that after the name.
	const user, system, tick = 11, 12, 10 * time.Millisecond
	stat := read("stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+2:])
	result := usage{processor: time.Duration(number(fields[user])+number(fields[system])) * tick}
	for line := range strings.Lines(read("status")) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			result.resident = number(strings.Fields(value)[0])
		}
	}
	for line := range strings.Lines(read("io")) {
		if value, ok := strings.CutPrefix(line, "wchar:"); ok {
			result.written = number(strings.Fields(value)[0])
		}
	}
	return result
}

// TestIdleNodes measures what a node process without calls costs as the number of nodes
// grows. Each node has one target, which announces itself each second.
func TestIdleNodes(t *testing.T) {
	program := filepath.Join(t.TempDir(), "carobknot")
	require.NoError(t, exec.Command("go", "build", "-o", program, "../../cmd/carobknot").Run())
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "nodes\tcpu us/s\tshare of a core\tresident MiB\twritten B/s\t")
	for _, count := range []int{2, 10, 30} {
		t.Run(fmt.Sprint(count), func(t *testing.T) { measureIdle(t, table, program, count) })
	}
	require.NoError(t, table.Flush())
}

// measureIdle starts a log, nodes and targets, and adds the average usage of a node over
// 20 s to the table.
func measureIdle(t *testing.T, table *tabwriter.Writer, program string, count int) {
	t.Helper()
	const settle, span = 20 * time.Second, 20 * time.Second
	log := startProcess(t, program, "log", "-listen", "127.0.0.1:0").addresses["log"]
	var nodes []*process
	for i := range count {
		file := filepath.Join(t.TempDir(), "node.json")
		settings := fmt.Sprintf(`{"name": "node-%d", "region": "r", "centre": "c-%d", "log": %q,
			"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0"}`, i, i%6, log)
		require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
		node := startProcess(t, program, "node", "-settings", file)
		nodes = append(nodes, node)
		startProcess(t, program, "target", "-id", fmt.Sprintf("service-%d/t-%d", i%5, i), "-profile", "lookups",
			"-admin", node.addresses["admin"])
	}
	timer := carobtimer.NewTimer()
	go timer.Run(t.Context())
	require.NoError(t, timer.Wait(t.Context(), settle))
	before := make([]usage, count)
	for i, node := range nodes {
		before[i] = node.readUsage(t)
	}
	require.NoError(t, timer.Wait(t.Context(), span))
	var sum usage
	for i, node := range nodes {
		after := node.readUsage(t)
		sum.processor += after.processor - before[i].processor
		sum.resident += after.resident
		sum.written += after.written - before[i].written
	}
	each := float64(count) * span.Seconds()
	micros := float64(sum.processor.Microseconds()) / each
	_, _ = fmt.Fprintf(table, "%d\t%.0f\t%.2f%%\t%.1f\t%.0f\t\n", count, micros, micros/1e4, float64(sum.resident)/1024/float64(count), float64(sum.written)/each)
}
