// Package logging makes the loggers of the programs: one line of key=value
// pairs for each event.
package logging

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of the level and above. An empty
// level is info.
func New(w io.Writer, level string) (*zap.Logger, error) {
	if level == "" {
		level = zapcore.InfoLevel.String()
	}
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(enc), zapcore.Lock(zapcore.AddSync(w)), lvl)
	return zap.New(core), nil
}
