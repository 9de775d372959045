// Package telemetry sets up logs and metrics.
package telemetry

import (
	"os"

	"github.com/sirupsen/logrus"
)

// NewLog returns a logger to standard error at the given level; an empty level
// means info.
func NewLog(level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	log.SetLevel(parsed)
	return log
}
