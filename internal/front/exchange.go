package front

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// exchange is one request, whose body has been read, and its answer.
type exchange struct {
	http.ResponseWriter
	server  *Server
	request *http.Request
	body    []byte
}

// header returns the first value of a field of the request, "" if there is none.
func (x *exchange) header(name string) string { return x.request.Header.Get(name) }

// respond writes the answer. The answers of a stopping instance end their connections.
func (x *exchange) respond(status int, contentType string, body []byte) {
	if x.server.draining.Load() {
		x.Header().Set("Connection", "close")
	}
	x.Header().Set("Content-Type", contentType)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		x.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.WriteHeader(status)
	// An error means that the caller has closed the connection, or that the status has no
	// body.
	_, _ = x.Write(body)
}

func writeJSON(x *exchange, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		x.respond(http.StatusInternalServerError, "text/plain; charset=utf-8", []byte(err.Error()))
		return
	}
	x.respond(status, "application/json", body)
}

func writeError(x *exchange, status int, e Error) { writeJSON(x, status, e) }
