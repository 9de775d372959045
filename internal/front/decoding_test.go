package front

import (
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
)

// TestDecodingIsBounded guards against bodies whose decoding takes far more memory than the
// gate reserves for the body: a decoded task takes 30 times its shortest encoding.
func TestDecodingIsBounded(t *testing.T) {
	fill := func(start, repeated, end string) string {
		return start + strings.Repeat(repeated, (MaxBodySize-len(start)-len(end))/len(repeated)) + end
	}
	s := &Server{}
	for _, tc := range []struct {
		name   string
		handle handlerFunc
		body   string
		// garbage is what a legal list takes beside its share.
		garbage uint64
	}{
		{"tasks", s.submitTasks, fill(`{"tasks":[{}`, `,{}`, `]}`), 0},
		{"tasks that differ", s.submitTasks, fill(`{"tasks":[{}`, `,0`, `]}`), 0},
		{"fewer tasks", s.submitTasks, `{"tasks":[{}` + strings.Repeat(`,{}`, 4000) + `]}`, 0},
		{"ids", s.cancelTasks, fill(`{"ids":[""`, `,""`, `]}`), 0},
		{"fewer ids", s.cancelTasks, `{"ids":[""` + strings.Repeat(`,""`, 4095) + `]}`, 16 * 4096},
		{"nested changes", s.changeConfig, fill(``, `{"object":[`, ``), 0},
		{"values of a change", s.changeConfig, fill(`{"object":{"document":{"teams":[""`, `,""`, `]}}}`), 0},
		{"pools of a wave", s.startWave, fill(`{"pools":[""`, `,""`, `]}`), 0},
		{"fewer pools of a wave", s.startWave, `{"pools":[""` + strings.Repeat(`,""`, 2000) + `]}`, 5 * 16 * 2001},
	} {
		x := &exchange{ResponseWriter: httptest.NewRecorder(), server: s, body: []byte(tc.body)}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		tc.handle(x, "service")
		runtime.ReadMemStats(&after)
		// The reserved share is four times the body and 16 KB.
		limit := uint64(4*len(tc.body)+16<<10) + tc.garbage
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > limit {
			t.Errorf("%s: %d bytes of JSON took %d bytes, above %d", tc.name, len(tc.body), allocated, limit)
		}
		if status := x.ResponseWriter.(*httptest.ResponseRecorder).Code; status != 400 {
			t.Errorf("%s: status %d, want 400", tc.name, status)
		}
	}
}
