package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// The ports of the gateways, which are the same on all of them, as on the platform.
const (
	portFrontend  = 8227
	portReadiness = 8220
	portControl   = 8229
	portDirectory = 8224
	portInternal  = 7340
	portStore     = 8223
	portEngine    = 8120
)

// heartbeat is the time between two writes of an engine's entry.
const heartbeat = 1200 * time.Millisecond

// the tenant of all consumers and its key.
const (
	tenantName = "hule930"
	tenantKey  = "n2ctnfzs989anu6wsjnb"
	hostHeader = "ficu95.example"
)

// lab is a small deployment: a store, engines and gateways, with a record of what happens.
type lab struct {
	directory string
	network   string
	store     *store
	mutex     sync.Mutex
	record    *os.File
	began     time.Time
	processes []*process
	engines   map[string]*engineProcess
	gateways  []*gateway
	stopped   chan struct{}
}

// process is a process that the lab has started.
type process struct {
	command *exec.Cmd
	name    string
	ended   chan struct{}
}

// engineProcess is the process of an engine, with what it noted.
type engineProcess struct {
	*process
	engineOptions
	service string
	// listed ends the heartbeats.
	listed chan struct{}
}

// gateway is a process of the project.
type gateway struct {
	*process
	name, ip, settings string
}

// newLab starts a store and opens the record.
func newLab(recordPath string) (*lab, error) {
	directory, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	made := &lab{directory: directory, record: record, began: time.Now(), engines: map[string]*engineProcess{}, stopped: make(chan struct{})}
	for range 50 {
		made.network = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		if made.store, err = newStore(fmt.Sprintf("%s1:%d", made.network, portStore)); err == nil {
			return made, nil
		}
	}
	return nil, err
}

// note writes a line of the record.
func (lab *lab) note(format string, values ...any) {
	lab.mutex.Lock()
	defer lab.mutex.Unlock()
	_, _ = fmt.Fprintf(lab.record, "%9.3f  %s\n", time.Since(lab.began).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes that the lab has started.
func (lab *lab) close() {
	close(lab.stopped)
	for _, started := range lab.processes {
		_ = started.command.Process.Signal(syscall.SIGCONT)
		_ = started.command.Process.Kill()
		<-started.ended
	}
	lab.store.stop()
	_ = lab.record.Close()
	_ = os.RemoveAll(lab.directory)
}

// start starts a process. Each line of its output is passed on.
func (lab *lab) start(name string, command *exec.Cmd, onLine func(string)) (*process, error) {
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	command.Stderr = command.Stdout
	if err := command.Start(); err != nil {
		return nil, err
	}
	started := &process{command: command, name: name, ended: make(chan struct{})}
	lab.mutex.Lock()
	lab.processes = append(lab.processes, started)
	lab.mutex.Unlock()
	go func() {
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			onLine(lines.Text())
		}
		_ = command.Wait()
		close(started.ended)
	}()
	return started, nil
}

// kill sends SIGKILL.
func (process *process) kill() {
	_ = process.command.Process.Kill()
	<-process.ended
}

// startEngine starts an engine and registers it.
func (lab *lab) startEngine(number int, service string, options engineOptions, onEvent func(fields []string)) (*engineProcess, error) {
	options.ID = fmt.Sprintf("i-%08x", rand.Uint32())
	options.Address = fmt.Sprintf("%s%d:%d", lab.network, 20+number, portEngine)
	options.BornMs = time.Now().UnixMilli()
	encoded, err := json.Marshal(options)
	if err != nil {
		return nil, err
	}
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	up := make(chan struct{})
	started, err := lab.start(options.ID, exec.Command(own, "engine", string(encoded)), func(line string) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[1] == "started" {
			close(up)
		}
		lab.note("engine %s", line)
		if onEvent != nil && len(fields) > 3 {
			onEvent(fields)
		}
	})
	if err != nil {
		return nil, err
	}
	<-up
	engine := &engineProcess{process: started, engineOptions: options, service: service, listed: make(chan struct{})}
	lab.engines[options.ID] = engine
	go lab.beat(engine)
	return engine, nil
}

// beat keeps an engine's entry in the store until the engine ends or is removed.
func (lab *lab) beat(engine *engineProcess) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		lab.store.put(wire("server_key")+engine.ID, map[string]any{
			"service": engine.service, "address": engine.Address, "zone": "caxias", "version": "v1", "slots": engine.Slots, "state": "ready",
			"cold_left_ms": 0, "seq_no": sequence, "born": engine.BornMs,
		})
		select {
		case <-ticker.C:
		case <-engine.listed:
			return
		case <-lab.stopped:
			return
		case <-engine.ended:
			time.Sleep(3 * heartbeat)
			lab.store.remove(wire("server_key") + engine.ID)
			return
		}
	}
}

// startGateways starts gateways with the command of the deploy file and waits until all are ready.
func (lab *lab) startGateways(count int) error {
	zones := []string{"caxias", "bento", "farroupilha", "garibaldi"}
	for number := range count {
		made := &gateway{name: fmt.Sprintf("edge-%s-%d", zones[number%len(zones)], 1+number/len(zones)), ip: fmt.Sprintf("%s%d", lab.network, 10+number)}
		made.settings = filepath.Join(lab.directory, made.name+".toml")
		text := fmt.Sprintf(settingsTemplate(), made.name, made.ip, zones[number%len(zones)], portInternal, portInternal+15,
			portFrontend, portReadiness, portControl, portDirectory, lab.store.address)
		if err := os.WriteFile(made.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := lab.startGateway(made); err != nil {
			return err
		}
		lab.gateways = append(lab.gateways, made)
	}
	for _, made := range lab.gateways {
		if err := made.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// startGateway starts the process of a gateway.
func (lab *lab) startGateway(made *gateway) error {
	command := exec.Command("target/primrosegw", "gateway")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + lab.directory, wire("settings_variable") + "=" + made.settings}
	started, err := lab.start(made.name, command, func(line string) {
		if os.Getenv("GATEWAY_LOGS") != "" {
			lab.note("%s %s", made.name, line)
		}
	})
	made.process = started
	return err
}

// frontend returns the address that takes consumers' requests.
func (gateway *gateway) frontend() string { return fmt.Sprintf("%s:%d", gateway.ip, portFrontend) }

// awaitReady waits until the gateway is ready.
func (gateway *gateway) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + net.JoinHostPort(gateway.ip, fmt.Sprint(portReadiness)) + wire("ready_path"))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", gateway.name)
}
