package configurer

import (
	"io"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLog returns the logger of an instance. Messages begin with the name of the part
// that logs them, as in "holder: lease claimed".
func NewLog(s Settings, w io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewConsoleEncoder(encoding)
	if s.LogFormat == "json" {
		encoder = zapcore.NewJSONEncoder(encoding)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level)
	return zap.New(core).With(zap.String("instance", s.Name)), nil
}
