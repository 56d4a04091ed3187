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

const firstPort = 17340

// newHost prepares a host with an address of its own.
func newHost(folder, name, ip, zone, storeAddress, bounds, tables string) (*gatewayHost, error) {
	host := &gatewayHost{name: name, ip: ip, zone: zone, settings: filepath.Join(folder, name+".toml")}
	host.frontend = fmt.Sprintf("%s:%d", ip, firstPort+20)
	host.readiness = fmt.Sprintf("%s:%d", ip, firstPort+21)
	text := fmt.Sprintf(settingsText(), name, ip, zone, firstPort, firstPort+15, firstPort+20, storeAddress, true, firstPort+21, firstPort+22, bounds, tables)
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
