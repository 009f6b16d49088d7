package worker

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"bamboohook/internal/message"
)

// Paths that only the fake serves, for tests.
const (
	PathFaults   = "/v1/faults"
	PathHistory  = "/v1/history"
	PathCounters = "/v1/counters"
)

// Handler returns the HTTP API of the worker. Task IDs may contain slashes, escaped or not.
func (w *Worker) Handler() http.Handler {
	mux := echo.New()
	mux.HideBanner = true
	mux.Use(middleware.BodyLimit("8M"))
	mux.GET(PathHistory, func(c echo.Context) error { return c.JSON(http.StatusOK, w.History()) })
	mux.GET(PathCounters, func(c echo.Context) error { return c.JSON(http.StatusOK, w.Counters()) })
	mux.POST(PathFaults, w.postFaults)
	mux.GET(message.PathUsage, w.withFaults(func(echo.Context) (any, error) { return w.Usage(), nil }))
	mux.GET(message.PathTasks, w.withFaults(func(echo.Context) (any, error) { return w.List(), nil }))
	mux.POST(message.PathTasks, w.withFaults(func(c echo.Context) (any, error) {
		var s message.WorkerStart
		if err := c.Bind(&s); err != nil {
			return nil, err
		}
		return w.Start(s)
	}))
	mux.GET(message.PathTasks+"/*", w.withFaults(func(c echo.Context) (any, error) {
		return w.Task(strings.TrimPrefix(c.Request().URL.Path, message.PathTasks+"/"))
	}))
	mux.POST(message.PathTasks+"/*", w.withFaults(w.postAction))
	return mux
}

func (w *Worker) postFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	if err := f.check(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	w.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

func (w *Worker) postAction(c echo.Context) (any, error) {
	path := strings.TrimPrefix(c.Request().URL.Path, message.PathTasks+"/")
	slash := strings.LastIndexByte(path, '/')
	if slash < 0 {
		return nil, echo.ErrNotFound
	}
	id := path[:slash]
	switch path[slash:] {
	case "/renew":
		var r message.WorkerRenew
		if err := c.Bind(&r); err != nil {
			return nil, err
		}
		return w.Renew(id, r.Lease)
	case "/throttle":
		var t message.WorkerThrottle
		if err := c.Bind(&t); err != nil {
			return nil, err
		}
		return w.Throttle(id, t.Share)
	case "/checkpoint":
		return w.Checkpoint(id)
	case "/stop":
		return w.Stop(id)
	}
	return nil, echo.ErrNotFound
}

// withFaults returns a handler that executes the call and injects the faults that are set when the call arrives.
func (w *Worker) withFaults(call func(echo.Context) (any, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		w.mutex.Lock()
		f := w.faults
		drop := w.random.decide(f.DropRate)
		if drop {
			w.counters.Dropped++
		}
		w.mutex.Unlock()
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		response, err := call(c)
		if f.Slow > 0 {
			w.options.Clock.Sleep(f.Slow)
		}
		if drop {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, response)
	}
}
