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

// process is a process whose cost is measured.
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

// cost is what a process has used so far.
type cost struct {
	processor time.Duration
	resident  int
	written   int
}

// cost reads what the kernel says of the process.
func (p *process) cost(t *testing.T) cost {
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
	const user, system, tick = 11, 12, 10 * time.Millisecond
	stat := read("stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+2:])
	c := cost{processor: time.Duration(number(fields[user])+number(fields[system])) * tick}
	for line := range strings.Lines(read("status")) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			c.resident = number(strings.Fields(rest)[0])
		}
	}
	for line := range strings.Lines(read("io")) {
		if rest, ok := strings.CutPrefix(line, "wchar:"); ok {
			c.written = number(strings.Fields(rest)[0])
		}
	}
	return c
}

// TestIdleNodes measures what a real node costs that has no calls, against the
// number of nodes: each has a target that announces itself each second.
func TestIdleNodes(t *testing.T) {
	program := filepath.Join(t.TempDir(), "carobknot")
	require.NoError(t, exec.Command("go", "build", "-o", program, "../../cmd/carobknot").Run())
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "nodes\tcpu us/s\tshare of a core\tresident MiB\twritten B/s\t")
	for _, n := range []int{2, 10, 30} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { measureIdle(t, table, program, n) })
	}
	require.NoError(t, table.Flush())
}

func measureIdle(t *testing.T, table *tabwriter.Writer, program string, n int) {
	t.Helper()
	const settle, span = 20 * time.Second, 20 * time.Second
	log := startProcess(t, program, "log", "-listen", "127.0.0.1:0").addresses["log"]
	var nodes []*process
	for i := range n {
		file := filepath.Join(t.TempDir(), "node.json")
		settings := fmt.Sprintf(`{"name": "node-%d", "region": "r", "centre": "c-%d", "log": %q,
			"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0"}`, i, i%6, log)
		require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
		nd := startProcess(t, program, "node", "-settings", file)
		nodes = append(nodes, nd)
		startProcess(t, program, "target", "-id", fmt.Sprintf("service-%d/t-%d", i%5, i), "-profile", "lookups",
			"-admin", nd.addresses["admin"])
	}
	timer := carobtimer.NewTimer()
	go timer.Run(t.Context())
	require.NoError(t, timer.Wait(t.Context(), settle))
	before := make([]cost, n)
	for i, nd := range nodes {
		before[i] = nd.cost(t)
	}
	require.NoError(t, timer.Wait(t.Context(), span))
	var sum cost
	for i, nd := range nodes {
		after := nd.cost(t)
		sum.processor += after.processor - before[i].processor
		sum.resident += after.resident
		sum.written += after.written - before[i].written
	}
	each := float64(n) * span.Seconds()
	micros := float64(sum.processor.Microseconds()) / each
	_, _ = fmt.Fprintf(table, "%d\t%.0f\t%.2f%%\t%.1f\t%.0f\t\n", n, micros, micros/1e4, float64(sum.resident)/1024/float64(n), float64(sum.written)/each)
}
