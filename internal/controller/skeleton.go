package controller

import (
	"log/slog"

	"github.com/panjf2000/gnet/v2"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
)

func Run(cfg *config.Settings, log *slog.Logger) error {
	s := &server{log: log, maxConn: cfg.Params.Resources.MaxSockets / 2, booted: make(chan struct{})}
	s.handle = func(r httpwire.Request, answer func(reply)) {
		log.Info("request", "path", r.Path)
		answer(reply{status: 503, retryAfter: 1})
	}
	return gnet.Run(s, "tcp4://"+cfg.Listen, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(16<<10), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
}
