package site

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// callerDeadline bounds each call of a Caller, and is sent as its
// Request-Deadline.
const callerDeadline = 3 * time.Second

// Step is one step of a job that a Caller submits.
type Step struct {
	// Count is the number of tasks of the step.
	Count int
	// MilliCores and MemoryMB are the demand of each task.
	MilliCores, MemoryMB int64
	// Estimate is the expected duration of a task.
	Estimate time.Duration
	// After lists the indexes of the steps that must complete first.
	After []int
	// LongRunning marks tasks that run until the job is cancelled.
	LongRunning bool
}

// Caller submits jobs of one team to a queue.
type Caller struct {
	Queue Queue
	Key   string
}

// Submit submits a job to the node that listens for callers on address, and
// returns the HTTP status.
func (c Caller) Submit(address, id, payload string, steps ...Step) (int, error) {
	encodedSteps := make([]map[string]any, len(steps))
	for i, s := range steps {
		encodedSteps[i] = map[string]any{
			"count": s.Count, "cpu": s.MilliCores, "mem-mb": s.MemoryMB, "est-runtime-ms": s.Estimate.Milliseconds(),
			"after": s.After, "long-running": s.LongRunning,
		}
	}
	body, err := json.Marshal(map[string]any{"spec": payload, "steps": encodedSteps})
	if err != nil {
		return 0, errors.Wrap(err, "encode job")
	}
	status, _, err := c.call(fasthttp.MethodPost, address, id, body)
	return status, err
}

// State returns the state that a node reports for a job, or "" if the node
// does not answer 200.
func (c Caller) State(address, id string) (string, error) {
	status, body, err := c.call(fasthttp.MethodGet, address, id, nil)
	if err != nil || status != fasthttp.StatusOK {
		return "", err
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", errors.Wrap(err, "decode state")
	}
	return answer.State, nil
}

// Cancel cancels a job and returns the HTTP status.
func (c Caller) Cancel(address, id string) (int, error) {
	status, _, err := c.call(fasthttp.MethodDelete, address, id, nil)
	return status, err
}

func (c Caller) call(method, address, id string, body []byte) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + c.Queue.Prefix + id)
	request.Header.SetHost(c.Queue.Host)
	request.UseHostHeader = true
	request.Header.Set("Key", c.Key)
	request.Header.Set("Request-Deadline", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	request.SetBody(body)
	if err := fasthttp.DoTimeout(request, response, callerDeadline); err != nil {
		return 0, nil, errors.Wrap(err, "call node")
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// Ready reports whether the node with the given readiness address is ready for
// callers.
func Ready(address string) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/ready", callerDeadline)
	return err == nil && status == fasthttp.StatusOK
}
