package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gatewayHost is a host of the system with its process.
type gatewayHost struct {
	name, ip, zone string
	frontend       string
	readiness      string
	settings       string
	command        *exec.Cmd
	exited         chan struct{}
	log            *os.File
}

const settingsText = `node_name = "%[1]s"
role = "gateway"
machine_class = "edge"
serves = ["edge","registry"]
ip = "%[2]s"
zone = "%[3]s"
region = "norte-peninsular"
internal_ports = [%[4]d,%[5]d]
seeds = []
first_start = %[8]v
failure_counted = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
bilbao-a = "norte-peninsular"
bilbao-b = "norte-peninsular"
[listen]
frontend = "%[2]s:%[6]d"
readiness = "%[2]s:%[9]d"
directory = "%[2]s:%[10]d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
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
config_apply_ms = 2000
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
%[11]s
[platform]
address = "%[7]s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
%[12]s
`

const firstPort = 17340

// newHost prepares a host with an address of its own.
func newHost(folder, name, ip, zone, storeAddress, bounds, tables string) (*gatewayHost, error) {
	host := &gatewayHost{name: name, ip: ip, zone: zone, settings: filepath.Join(folder, name+".toml")}
	host.frontend = fmt.Sprintf("%s:%d", ip, firstPort+20)
	host.readiness = fmt.Sprintf("%s:%d", ip, firstPort+21)
	text := fmt.Sprintf(settingsText, name, ip, zone, firstPort, firstPort+15, firstPort+20, storeAddress, true, firstPort+21, firstPort+22, bounds, tables)
	return host, os.WriteFile(host.settings, []byte(text), 0o600)
}

// start begins the process with the command of the deploy file.
func (host *gatewayHost) start(root string) error {
	host.command = exec.CommandContext(context.Background(), filepath.Join(root, "target", "primrosegw"), "gateway")
	host.command.Dir = root
	host.command.Env = append(os.Environ(), "PRIMROSEGW_CONFIG="+host.settings)
	log, err := os.OpenFile(strings.TrimSuffix(host.settings, ".toml")+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	host.log, host.command.Stdout, host.command.Stderr = log, log, log
	host.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := host.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	host.exited = exited
	command := host.command
	go func() { _ = command.Wait(); close(exited) }()
	return nil
}

// signal sends a signal to the process.
func (host *gatewayHost) signal(signal syscall.Signal) {
	if host.command != nil && host.command.Process != nil {
		_ = host.command.Process.Signal(signal)
	}
}

// isRunning reports whether the process runs.
func (host *gatewayHost) isRunning() bool {
	select {
	case <-host.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for it.
func (host *gatewayHost) kill() {
	if host.command == nil || !host.isRunning() {
		return
	}
	host.signal(syscall.SIGKILL)
	select {
	case <-host.exited:
	case <-time.After(5 * time.Second):
	}
}
