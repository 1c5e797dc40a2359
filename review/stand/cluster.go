package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// labels are the labels of the controllers.
var labels = []string{"sprig-0", "sprig-1", "sprig-2"}

// site is what the settings and the stand-ins take from a deployment's page.
type site struct {
	zones     []string // of the controllers, in the order of labels
	teams     string   // of the settings
	heartbeat time.Duration
	lease     time.Duration
	gangWait  time.Duration
	gangPeer  time.Duration
	cancel    time.Duration
	restart   time.Duration // how long after its end a process is back
	limits    string        // of the state service, the cloud and the processes, in the settings
	memoryMB  float64       // of each process, as in limits
	typ       wire.MachineType
}

// compressa is the Compressa deployment, in Gent.
var compressa = site{
	zones: []string{"gent-haven", "leuven-hal", "gent-haven"},
	teams: `
[[params.teams]]
name = "sizing-desk"
[[params.teams]]
name = "bench-lab"
[[params.teams]]
name = "cert-office"
`,
	heartbeat: 1500 * time.Millisecond, lease: 12 * time.Second, gangWait: 30 * time.Second, gangPeer: 8 * time.Second,
	cancel: 32 * time.Second, restart: 4 * time.Second,
	limits: `
[params.state]
rps = 100.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 24
[params.cloud]
rps = 2.0
list_lag_s = 10.0
[params.resources]
cpu_share = 0.12
memory_mb = 70.0
max_sockets = 900
`,
	memoryMB: 70,
	typ: wire.MachineType{Name: "schroef-gpu16", CPUs: 16, GPUs: 2, MemoryGB: 64, CacheGB: 90, FetchGBps: 0.4,
		Price: 5.2, SpotPrice: 1.38, BootS: 25, Zones: []string{"gent-haven", "leuven-hal"}},
}

// settings is the settings file of one controller.
const settings = `
label = %q
zone = %q
public_addr = %q
cluster_listen = %q
%s
[outside]
cloud = %q
state = %q
[params]
count = 3
zones = [%s]
clock_error_ms = 25.0
%s
[params.workers]
report_s = %.1f
lease_s = %.1f
gang_wait_s = %.1f
gang_peer_s = %.1f
cancel_s = %.1f
%s
`

// recorder writes what happens to record.txt. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecorder(dir string) (*recorder, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

// note writes one line with the seconds since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say notes a line and prints it.
func (r *recorder) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// cluster is three controllers, as real processes, and the stand-ins around them.
type cluster struct {
	rec   *recorder
	world *testkit.World
	site  site
	dir   string
	addrs map[string]string // where users and workers reach a controller, by label

	peerAddrs, stateAddrs map[string]string // by label
	cloudAddr             string

	run     []string // the run line of the deploy file
	mu      sync.Mutex
	procs   map[string]*exec.Cmd
	closers []func()
}

// runLine returns the program and the arguments of the deploy file's run line.
func runLine() ([]string, error) {
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = \""); ok {
			return strings.Fields(strings.TrimSuffix(strings.TrimSpace(value), "\"")), nil
		}
	}
	return nil, errors.New("deploy/service.toml has no run line")
}

// nextPort is the port that freeAddr tries next. It lies below the range from which the system takes
// the ports of outgoing connections, so that a restarted controller finds its port free.
var nextPort = 11000 + os.Getpid()*37%18000

// freeAddr returns a local address on which nothing listens.
func freeAddr() string {
	for {
		nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if ln, err := net.Listen("tcp4", addr); err == nil {
			ln.Close()
			return addr
		}
	}
}

// options are what a case changes of the stand-ins.
type options struct {
	state func(label string, next http.Handler) http.Handler // around the state service
	cloud func(next http.Handler) http.Handler               // around the cloud
	boot  time.Duration
}

// newCluster starts the stand-ins and the controllers.
func newCluster(rec *recorder, at site, o options) (*cluster, error) {
	run, err := runLine()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	if o.boot == 0 {
		o.boot = 2 * time.Second
	}
	c := &cluster{rec: rec, site: at, dir: dir, addrs: map[string]string{}, peerAddrs: map[string]string{}, stateAddrs: map[string]string{}, run: run, procs: map[string]*exec.Cmd{}}
	timing := testkit.Timing{Report: at.heartbeat, Lease: at.lease, GangWait: at.gangWait, GangPeer: at.gangPeer, Cancel: at.cancel}
	c.world = testkit.NewWorld(labels, []wire.MachineType{at.typ}, timing, testkit.NewChecker(nil, at.cancel), 1)
	c.world.SetBoot(o.boot, false)
	c.closers = append(c.closers, c.world.ServeWorkers())
	c.world.Observe(c.observe)
	cloudHandler := c.noteCloud(c.world.CloudHTTP())
	if o.cloud != nil {
		cloudHandler = o.cloud(cloudHandler)
	}
	cloud := httptest.NewServer(cloudHandler)
	c.closers = append(c.closers, func() { cloud.CloseClientConnections(); cloud.Close() })
	for _, label := range labels {
		c.addrs[label], c.peerAddrs[label] = freeAddr(), freeAddr()
	}
	c.cloudAddr = strings.TrimPrefix(cloud.URL, "http://")
	for _, label := range labels {
		handler := c.world.State.HTTP(label)
		if o.state != nil {
			handler = o.state(label, handler)
		}
		state := httptest.NewServer(handler)
		c.closers = append(c.closers, state.CloseClientConnections)
		c.stateAddrs[label] = strings.TrimPrefix(state.URL, "http://")
		if err := c.configure(label, at.teams); err != nil {
			return nil, err
		}
	}
	for _, label := range labels {
		if err := c.start(label); err != nil {
			c.stop()
			return nil, err
		}
	}
	return c, nil
}

// configure writes a controller's settings file with the given teams.
func (c *cluster) configure(label, teams string) error {
	var seeds, zones strings.Builder
	zone := ""
	for i, other := range labels {
		if other == label {
			zone = c.site.zones[i]
			continue
		}
		fmt.Fprintf(&seeds, "[[seeds]]\nlabel = %q\nzone = %q\npeer_addr = %q\n", other, c.site.zones[i], c.peerAddrs[other])
	}
	for _, z := range c.site.typ.Zones {
		fmt.Fprintf(&zones, "%q, ", z)
	}
	text := fmt.Sprintf(settings, label, zone, c.addrs[label], c.peerAddrs[label], seeds.String(), c.cloudAddr, c.stateAddrs[label],
		zones.String(), teams, c.site.heartbeat.Seconds(), c.site.lease.Seconds(), c.site.gangWait.Seconds(), c.site.gangPeer.Seconds(),
		c.site.cancel.Seconds(), c.site.limits)
	return os.WriteFile(filepath.Join(c.dir, label+".toml"), []byte(text), 0o600)
}

// observe notes the transactions that were applied, and the answers to workers that carry commands or
// send the worker away.
func (c *cluster) observe(event string, args ...any) {
	values := map[string]any{}
	for i := 0; i+1 < len(args); i += 2 {
		values[fmt.Sprint(args[i])] = args[i+1]
	}
	switch event {
	case "transaction":
		then, _ := values["then"].([]wire.Op)
		var changes []string
		for _, op := range then {
			if op.Delete != "" {
				changes = append(changes, "remove "+op.Delete)
			} else {
				changes = append(changes, "put "+op.Put)
			}
		}
		if len(changes) > 0 {
			c.rec.note("state service: %v: %s, revision %v, error %v", values["from"], strings.Join(changes, ", "), values["revision"], values["err"])
		}
	case "heartbeat":
		orders, _ := values["orders"].(wire.CommandBatch)
		if status := values["status"]; status != 200 || len(orders.Commands) > 0 {
			var commands []string
			for _, o := range orders.Commands {
				commands = append(commands, fmt.Sprintf("%s %s#%d", o.Op, o.Task, o.Attempt))
			}
			c.rec.note("worker %v: POST /agent/beat at %v: %v %s", values["from"], values["to"], status, strings.Join(commands, ", "))
		}
	}
}

// noteCloud notes the requests to the cloud.
func (c *cluster) noteCloud(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
		c.rec.note("cloud: %s %s %s", r.Method, r.URL.Path, body)
	})
}

// start starts a controller's process.
func (c *cluster) start(label string) error {
	args := append(append([]string{}, c.run[1:]...), filepath.Join(c.dir, label+".toml"))
	cmd := exec.Command(c.run[0], args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logFile, err := os.OpenFile(filepath.Join(c.dir, label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.procs[label] = cmd
	c.mu.Unlock()
	c.world.SetNode(label, testkit.RemoteNode{Addr: c.addrs[label]})
	c.rec.note("controller %s started", label)
	return nil
}

// kill kills a controller's process.
func (c *cluster) kill(label string) {
	c.mu.Lock()
	cmd := c.procs[label]
	delete(c.procs, label)
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	cmd.Wait()
	c.rec.note("controller %s killed", label)
}

// signal sends a signal to a controller's process.
func (c *cluster) signal(label string, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cmd := c.procs[label]; cmd != nil {
		cmd.Process.Signal(s)
	}
}

// stop ends all processes and stand-ins.
func (c *cluster) stop() {
	for _, label := range labels {
		c.signal(label, syscall.SIGCONT)
		c.kill(label)
	}
	c.world.Stop()
	for _, f := range c.closers {
		f()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// user is the HTTP client of users. It opens a connection for each request.
var user = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// ask sends a user's request to a controller. The status is 0 if there is no answer in time.
func (c *cluster) ask(label, method, path, body string, timeout time.Duration) (status int, state string, retryAfter string) {
	client := &http.Client{Transport: user.Transport, Timeout: timeout}
	req, err := http.NewRequest(method, "http://"+c.addrs[label]+path, strings.NewReader(body))
	if err != nil {
		return 0, "", ""
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", ""
	}
	defer resp.Body.Close()
	var s wire.Status
	json.NewDecoder(resp.Body).Decode(&s)
	return resp.StatusCode, s.State, resp.Header.Get("Retry-After")
}

// awaitReady waits until all controllers are ready.
func (c *cluster) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		n := 0
		for _, label := range labels {
			if status, _, _ := c.ask(label, "GET", "/ready", "", time.Second); status == 200 {
				n++
			}
		}
		if n == len(labels) {
			return true
		}
	}
	return false
}

// submit submits a job, as its user does, until it is accepted.
func (c *cluster) submit(spec wire.Spec, length testkit.JobDurations, limit time.Duration) bool {
	c.world.Register(spec, length)
	body, _ := json.Marshal(spec)
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		label := labels[i%len(labels)]
		status, state, _ := c.ask(label, "POST", "/work", string(body), 5*time.Second)
		c.rec.note("user: POST /work %s at %s: %d %s", spec.Ref, label, status, state)
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// withdraw asks for a cancellation until it is answered with a state.
func (c *cluster) withdraw(ref string, limit time.Duration) (state string, at time.Time) {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		label := labels[i%len(labels)]
		status, state, _ := c.ask(label, "POST", "/work/"+ref+"/withdraw", "", 5*time.Second)
		c.rec.note("user: POST /work/%s/withdraw at %s: %d %s", ref, label, status, state)
		if status == 200 {
			return state, time.Now()
		}
		time.Sleep(time.Second)
	}
	return "", time.Time{}
}

// poll asks for a job's state once.
func (c *cluster) poll(label, ref string) (status int, state string) {
	status, state, _ = c.ask(label, "GET", "/work/"+ref, "", 2*time.Second)
	c.rec.note("user: GET /work/%s at %s: %d %s", ref, label, status, state)
	return status, state
}

// array returns the specification of an array of the class efficiency-bench.
func array(ref, team string, tasks int) wire.Spec {
	return wire.Spec{Ref: ref, Class: "efficiency-bench", Team: team, Kind: wire.Array, Priority: "normal", Tasks: tasks,
		CPUs: 6, GPUs: 1, MemoryGB: 24, Image: "img-01", ImageGB: 4, EstimateS: 100, CheckpointS: 20, SaveS: 3, Spot: true}
}
