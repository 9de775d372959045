package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/node"
	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// Sizes and durations of the fleet in RunNodes. CPU and memory of its workers
// are set in startNodeFleet.
const (
	workerCount  = 4
	taskDuration = 40 * time.Millisecond
	waveTimeout  = 15 * time.Second
)

// nodeFleet is the system that RunNodes starts: a stand-in site, and one node in
// each data centre.
type nodeFleet struct {
	site   *site.Site
	caller site.Caller
	// nodes maps a data centre to its node.
	nodes map[string]*runningNode
	// jobs counts the submitted jobs.
	jobs int
}

// runningNode is one node with the addresses on which it listens for callers and
// for readiness checks. done receives the node's error when it has stopped.
type runningNode struct {
	frontAddress, readyAddress string
	stop                       context.CancelFunc
	done                       chan error
}

// nodeStep is one operation on a nodeFleet, with the check of its result.
type nodeStep struct {
	name string
	run  func(ctx context.Context, f *nodeFleet) (string, error)
}

func nodeSteps() []nodeStep {
	return []nodeStep{
		{"submit a job of two steps in each data centre", submitJobs},
		{"submit one job twice", submitTwice},
		{"withdraw the key and grant another", replaceKey},
		{"take data centre north out and bring it back", takeOutAndBringBack},
		{"upkeep of all machines, one at a time", runUpkeepWave},
		{"stop the node in north while a job runs", stopNode},
	}
}

// RunNodes starts one node in each of two data centres of a stand-in site,
// performs all steps and writes one table row for each to out. The nodes log to
// logs. It returns ErrStepFailed if a step failed.
func RunNodes(ctx context.Context, out, logs io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := startNodeFleet(ctx, logs)
	if err != nil {
		return err
	}
	table := newTable(out)
	for _, s := range nodeSteps() {
		table.runStep(s.name, func() (string, error) { return s.run(ctx, f) })
	}
	err = table.finish()
	cancel()
	var group errgroup.Group
	for _, n := range f.nodes {
		group.Go(func() error { return <-n.done })
	}
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}

// startNodeFleet starts the site and the nodes, and waits until the nodes are
// ready. They run until ctx ends.
func startNodeFleet(ctx context.Context, logs io.Writer) (*nodeFleet, error) {
	queue := site.Queue{Name: service, Host: "deposits.example", Prefix: "/deposits/", Service: service, Attempts: 3}
	s, err := site.Start(ctx, site.Options{
		Queues: []site.Queue{queue}, Teams: []site.Team{{Name: team, Keys: []string{secret}, CPU: 20000}},
		Workers: map[string]int{service: workerCount, "reserve": 1}, SparePool: "reserve",
		Zones: []string{dataCentreNorth, dataCentreSouth}, CPU: 8000, MemoryMB: 16000,
		RunBehavior: func(string, string, int) (time.Duration, site.Outcome) { return taskDuration, site.Done },
	})
	if err != nil {
		return nil, err
	}
	f := &nodeFleet{site: s, caller: site.Caller{Queue: queue, Key: secret}, nodes: make(map[string]*runningNode)}
	for _, dataCentre := range []string{dataCentreNorth, dataCentreSouth} {
		if err := f.startNode(ctx, dataCentre, logs); err != nil {
			return nil, err
		}
	}
	return f, eventually(ctx, func() error {
		for dataCentre, n := range f.nodes {
			if !site.Ready(n.readyAddress) {
				return errors.Errorf("the node in %s is not ready", dataCentre)
			}
		}
		return nil
	})
}

func (f *nodeFleet) startNode(ctx context.Context, dataCentre string, logs io.Writer) error {
	frontAddress, err := site.FreeAddress()
	if err != nil {
		return err
	}
	readyAddress, err := site.FreeAddress()
	if err != nil {
		return err
	}
	firstPort, err := site.FreePorts(site.NodePorts)
	if err != nil {
		return err
	}
	settingsFile := f.site.NodeSettings("edge-"+dataCentre, dataCentre, frontAddress, readyAddress, firstPort)
	nodeCtx, stop := context.WithCancel(ctx)
	n := &runningNode{frontAddress: frontAddress, readyAddress: readyAddress, stop: stop, done: make(chan error, 1)}
	f.nodes[dataCentre] = n
	go func() { n.done <- node.RunSettings(nodeCtx, settingsFile, nil, logs) }()
	return nil
}

// submit submits a job of two steps with 3 tasks in total, and returns its id.
func (f *nodeFleet) submit(dataCentre string) (string, error) {
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	return id, f.submitWithID(dataCentre, id, fasthttp.StatusOK)
}

// submitWithID submits the same job as submit under a given id, and fails unless
// the node answers wantStatus.
func (f *nodeFleet) submitWithID(dataCentre, id string, wantStatus int) error {
	first := site.Step{Count: 2, MilliCores: 1000, MemoryMB: 100, Estimate: taskDuration}
	second := first
	second.Count, second.After = 1, []int{0}
	status, err := f.caller.Submit(f.nodes[dataCentre].frontAddress, id, "settle "+id, first, second)
	if err != nil {
		return err
	}
	if status != wantStatus {
		return errors.Errorf("status %d at the node in %s", status, dataCentre)
	}
	return nil
}

// wideJobTasks is the number of tasks, of one core each, in a job that exceeds
// the 16 cores of one data centre.
const wideJobTasks = 20

// submitWideJob submits a job that needs both data centres to run all of its
// tasks at the same time, and returns its id.
func (f *nodeFleet) submitWideJob(dataCentre string) (string, error) {
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	status, err := f.caller.Submit(f.nodes[dataCentre].frontAddress, id, "settle "+id, site.Step{Count: wideJobTasks, MilliCores: 1000, MemoryMB: 100, Estimate: taskDuration})
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Errorf("status %d at the node in %s", status, dataCentre)
	}
	return id, err
}

// awaitCompleted waits until the node in a data centre reports a job as
// completed.
func (f *nodeFleet) awaitCompleted(ctx context.Context, dataCentre, id string) error {
	return eventually(ctx, func() error {
		state, err := f.caller.State(f.nodes[dataCentre].frontAddress, id)
		if err != nil {
			return err
		}
		if state != "completed" {
			return errors.Errorf("job %s is %q", id, state)
		}
		return nil
	})
}

// runsOf returns the runs of a job's tasks.
func (f *nodeFleet) runsOf(id string) []site.RunRecord {
	var runs []site.RunRecord
	for _, r := range f.site.Runs() {
		if r.Payload == "settle "+id {
			runs = append(runs, r)
		}
	}
	return runs
}

// submitJobs submits a job in each data centre and checks that the other one
// reports its completion.
func submitJobs(ctx context.Context, f *nodeFleet) (string, error) {
	for from, to := range map[string]string{dataCentreNorth: dataCentreSouth, dataCentreSouth: dataCentreNorth} {
		id, err := f.submit(from)
		if err != nil {
			return "", err
		}
		if err := f.awaitCompleted(ctx, to, id); err != nil {
			return "", err
		}
		if n := len(f.runsOf(id)); n != 3 {
			return "", errors.Errorf("%d runs of 3 tasks", n)
		}
	}
	return "accepted in one data centre, shown as completed in the other; 3 runs each", nil
}

// submitTwice submits the same job in both data centres and checks that its
// tasks run once.
func submitTwice(ctx context.Context, f *nodeFleet) (string, error) {
	id, err := f.submit(dataCentreNorth)
	if err != nil {
		return "", err
	}
	if err := f.submitWithID(dataCentreSouth, id, fasthttp.StatusOK); err != nil {
		return "", err
	}
	if err := f.awaitCompleted(ctx, dataCentreNorth, id); err != nil {
		return "", err
	}
	if n := len(f.runsOf(id)); n != 3 {
		return "", errors.Errorf("%d runs of 3 tasks", n)
	}
	return "both callers got 200, the tasks ran once", nil
}

// replaceKey replaces the team's key and checks that both nodes reject the old
// key and accept the new one.
func replaceKey(ctx context.Context, f *nodeFleet) (string, error) {
	const newKey = "next-secret"
	f.site.Configure([]site.Queue{f.caller.Queue}, []site.Team{{Name: team, Keys: []string{newKey}, CPU: 20000}})
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	for _, dataCentre := range []string{dataCentreNorth, dataCentreSouth} {
		if err := eventually(ctx, func() error { return f.submitWithID(dataCentre, id, fasthttp.StatusUnauthorized) }); err != nil {
			return "", err
		}
	}
	f.caller.Key = newKey
	if err := f.submitWithID(dataCentreNorth, id, fasthttp.StatusOK); err != nil {
		return "", err
	}
	return "both data centres reject the old key and accept the new one", f.awaitCompleted(ctx, dataCentreSouth, id)
}

// takeOutAndBringBack takes data centre north out, checks that no task starts
// there, brings it back and checks that tasks start there again.
func takeOutAndBringBack(ctx context.Context, f *nodeFleet) (string, error) {
	f.site.TakeOutDataCentre(dataCentreNorth)
	err := eventually(ctx, func() error {
		id, err := f.submitWideJob(dataCentreNorth)
		if err != nil {
			return err
		}
		if err := f.awaitCompleted(ctx, dataCentreNorth, id); err != nil {
			return err
		}
		return f.checkStartedIn(id, dataCentreNorth, false)
	})
	if err != nil {
		return "", err
	}
	f.site.BringBackDataCentre(dataCentreNorth)
	err = eventually(ctx, func() error {
		id, err := f.submitWideJob(dataCentreSouth)
		if err != nil {
			return err
		}
		if err := f.awaitCompleted(ctx, dataCentreSouth, id); err != nil {
			return err
		}
		return f.checkStartedIn(id, dataCentreNorth, true)
	})
	return "no task starts in north, then tasks start there again", err
}

// checkStartedIn returns an error if a task of the job started in a data centre
// and wantStart is false, or if none started there and wantStart is true.
func (f *nodeFleet) checkStartedIn(id, dataCentre string, wantStart bool) error {
	inDataCentre := make(map[string]bool)
	for _, w := range f.site.Workers() {
		inDataCentre[w.ID] = w.Zone == dataCentre
	}
	started := false
	for _, r := range f.runsOf(id) {
		started = started || inDataCentre[r.Worker]
	}
	if started != wantStart {
		return errors.Errorf("job %s ran in %s: %v", id, dataCentre, started)
	}
	return nil
}

// runUpkeepWave orders the upkeep of all machines and checks that the upkeep of
// each machine takes place while no other machine is in upkeep.
func runUpkeepWave(ctx context.Context, f *nodeFleet) (string, error) {
	const number = 1
	var names []string
	for i := range workerCount {
		names = append(names, fmt.Sprintf("m-%d", i))
	}
	f.site.OrderWave(number, names, waveTimeout, 1)
	timeoutCtx, cancel := context.WithTimeout(ctx, waveTimeout)
	defer cancel()
	for !f.site.WaveCompleted(number) {
		select {
		case <-timeoutCtx.Done():
			return "", errors.New("the wave did not complete before the timeout")
		case <-time.After(pollInterval):
		}
	}
	hadUpkeep := make(map[string]bool)
	for _, order := range f.site.Machines.Orders() {
		if order.Wave == number && order.Down > 0 {
			return "", errors.Errorf("upkeep of %s began while %d machines were down", order.Machine, order.Down)
		}
		hadUpkeep[order.Machine] = hadUpkeep[order.Machine] || order.Wave == number
	}
	for _, name := range names {
		if !hadUpkeep[name] {
			return "", errors.Errorf("no upkeep of %s", name)
		}
	}
	return fmt.Sprintf("%d machines, never two down", len(names)), nil
}

// stopNode stops the node in data centre north and checks that the job which it
// accepted and a new one complete in south.
func stopNode(ctx context.Context, f *nodeFleet) (string, error) {
	id, err := f.submit(dataCentreNorth)
	if err != nil {
		return "", err
	}
	f.nodes[dataCentreNorth].stop()
	if err := f.awaitCompleted(ctx, dataCentreSouth, id); err != nil {
		return "", err
	}
	next, err := f.submit(dataCentreSouth)
	if err != nil {
		return "", err
	}
	return "its job and a new one complete in south", f.awaitCompleted(ctx, dataCentreSouth, next)
}
