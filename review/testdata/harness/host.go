package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hostSettings are the settings in which the hosts of a case differ from the usual ones.
type hostSettings struct {
	name, ip, storeAddress string
	memoryMB               int
}

// host is a process of the project's own program with the command of the deploy file.
type host struct {
	settings hostSettings
	path     string
	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	entry    string
	ready    string
	resolve  string
}

var (
	hostsMutex sync.Mutex
	allHosts   []*host
	// network is the first part of the loopback addresses of the hosts: another one for each run.
	network = fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%250)
	tempDir string
)

// newHost prepares the settings of a host.
func newHost(number int, storeAddress string) *host {
	one := &host{settings: hostSettings{
		name: fmt.Sprintf("edge-bilbao-a-%d", number), ip: fmt.Sprintf("%s.%d", network, number), storeAddress: storeAddress, memoryMB: 284,
	}}
	one.entry, one.ready, one.resolve = one.settings.ip+":8227", one.settings.ip+":8220", one.settings.ip+":8224"
	one.path = filepath.Join(tempDir, one.settings.name+".toml")
	hostsMutex.Lock()
	allHosts = append(allHosts, one)
	hostsMutex.Unlock()
	return one
}

// Start starts the process: the command of deploy/system.toml with its settings file.
func (host *host) Start() {
	fatalIf(os.WriteFile(host.path, []byte(host.settings.render()), 0o600))
	program, err := filepath.Abs("target/primrosegw")
	fatalIf(err)
	command := exec.Command(program, "gateway")
	command.Env = []string{"PRIMROSEGW_CONFIG=" + host.path, "PATH=" + os.Getenv("PATH"), "HOME=" + tempDir, "LANG=C"}
	output, err := os.OpenFile(filepath.Join(tempDir, host.settings.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	fatalIf(err)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	fatalIf(command.Start())
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}()
	host.mutex.Lock()
	host.command, host.exited = command, exited
	host.mutex.Unlock()
}

// Signal sends a signal to the process.
func (host *host) Signal(signal syscall.Signal) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.command != nil {
		_ = host.command.Process.Signal(signal)
	}
}

// Kill kills the process and waits for its end.
func (host *host) Kill() {
	host.Signal(syscall.SIGKILL)
	host.mutex.Lock()
	exited := host.exited
	host.mutex.Unlock()
	if exited != nil {
		<-exited
	}
}

// PeakRSS returns the peak of the resident memory of the process in MB.
func (host *host) RSS() (current, peak int) {
	host.mutex.Lock()
	pid := host.command.Process.Pid
	host.mutex.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			current = kb >> 10
		}
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			peak = kb >> 10
		}
	}
	return current, peak
}

// Ready reports whether the host says that it is ready.
func (host *host) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + host.ready + wire("{calls}readyz"))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready.
func waitReady(limit time.Duration, hosts ...*host) bool {
	deadline := time.Now().Add(limit)
	for _, one := range hosts {
		for !one.Ready() {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// endHosts ends all processes that were started.
func endHosts() {
	hostsMutex.Lock()
	defer hostsMutex.Unlock()
	for _, one := range allHosts {
		one.Kill()
	}
}

// render returns the settings file in the platform's format. Its figures are those of the site
// acalv-avisos.
func (settings hostSettings) render() string {
	return fmt.Sprintf(wire(`{node name} = %q
role = "gateway"
machine_class = "edge"
serves = ["edge","registry"]
ip = %q
zone = "bilbao-a"
region = "norte-peninsular"
internal_ports = [7340,7355]
seeds = []
first_start = true
failure_counted = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
bilbao-a = "norte-peninsular"
[listen]
frontend = "%[2]s:8227"
readiness = "%[2]s:8220"
control_plane = "%[2]s:8229"
directory = "%[2]s:8224"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
{config apply ms} = 2000
downgrade_ms = 250
outer_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
recovery_s = 12
delivery_lag_ms = 120
reuse_window_s = 7.8
ttl_max_s = 5
[platform]
address = %[4]q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`), settings.name, settings.ip, settings.memoryMB, settings.storeAddress)
}

// link is a connection of a host to the store that the case can cut: bytes are then held back in
// both directions, and new connections get no answer.
type link struct {
	address string
	target  string
	mutex   sync.Mutex
	cut     bool
	healed  chan struct{}
	conns   map[net.Conn]bool
}

// newLink starts a link to an address.
func newLink(target string) *link {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	fatalIf(err)
	one := &link{address: listener.Addr().String(), target: target, healed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go one.relay(conn)
		}
	}()
	return one
}

// Cut cuts the link or heals it. What was held back in the cut is lost with its connections,
// which the peer gives up by itself in the meantime.
func (link *link) Cut(cut bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if cut == link.cut {
		return
	}
	link.cut = cut
	if cut {
		link.healed = make(chan struct{})
		return
	}
	for conn := range link.conns {
		_ = conn.Close()
	}
	close(link.healed)
}

// wait waits while the link is cut, and reports whether it was.
func (link *link) wait() bool {
	link.mutex.Lock()
	cut, healed := link.cut, link.healed
	link.mutex.Unlock()
	if cut {
		<-healed
	}
	return cut
}

func (link *link) relay(conn net.Conn) {
	link.mutex.Lock()
	link.conns[conn] = true
	link.mutex.Unlock()
	defer func() {
		_ = conn.Close()
		link.mutex.Lock()
		delete(link.conns, conn)
		link.mutex.Unlock()
	}()
	if link.wait() {
		return
	}
	target, err := net.Dial("tcp4", link.target)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		link.pipe(target, conn)
		_ = conn.Close()
		_ = target.Close()
	}()
	link.pipe(conn, target)
}

func (link *link) pipe(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if link.wait() {
				return
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
