package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"bamboohook/internal/exchange"
	"bamboohook/internal/message"
)

// maxJobBytes limits the body of a job submission.
const maxJobBytes = 256 << 10

func (e *Entry) registerJobs(c *echo.Echo) {
	c.POST("/v1/jobs", e.submitJob)
	c.GET("/v1/jobs", func(c echo.Context) error { return c.JSON(http.StatusOK, e.owner.List()) })
	c.GET("/v1/jobs/:id", e.showJob)
	c.DELETE("/v1/jobs/:id", e.cancelJob)
}

func (e *Entry) submitJob(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxJobBytes)
	var request message.JobRequest
	if err := c.Bind(&request); err != nil {
		return writeFailure(c, http.StatusBadRequest, message.ErrorResponse{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonBadRequest,
			Message: "entry: the request body is not a valid JSON job of at most 256 KiB: " + err.Error(),
		})
	}
	status, failure := e.owner.Submit(c.Request().Context(), request)
	if failure != nil {
		counters.Add("jobs-"+failure.Outcome+"-"+failure.Reason, 1)
		return writeFailure(c, exchange.StatusCode(*failure), *failure)
	}
	counters.Add("jobs-accepted", 1)
	e.recordEvent("job-accepted", status.ID, map[string]string{"tasks": strconv.Itoa(status.Tasks), "kind": status.Kind})
	return c.JSON(http.StatusCreated, status)
}

func (e *Entry) showJob(c echo.Context) error {
	status, ok := e.owner.Status(c.Param("id"))
	if ok {
		return c.JSON(http.StatusOK, status)
	}
	failure := message.ErrorResponse{
		Outcome: message.OutcomeNotRun, Reason: message.ReasonUnknownJob, RequestID: c.Param("id"),
		Message: "entry: no job with this ID is known; ended jobs are removed after some time",
	}
	if !e.batch.replayer.CaughtUp() {
		failure.Outcome, failure.Reason = message.OutcomeUnknown, message.ReasonNotReady
		failure.Message, failure.RetryAfterMS = "entry: this entry has not read all job records yet", time.Second.Milliseconds()
		return writeFailure(c, http.StatusServiceUnavailable, failure)
	}
	return writeFailure(c, http.StatusNotFound, failure)
}

func (e *Entry) cancelJob(c echo.Context) error {
	status, failure := e.owner.Cancel(c.Request().Context(), c.Param("id"), message.ReasonCancelled)
	if failure != nil {
		return writeFailure(c, exchange.StatusCode(*failure), *failure)
	}
	counters.Add("jobs-cancelled", 1)
	e.recordEvent("job-cancelled", c.Param("id"), nil)
	return c.JSON(http.StatusOK, status)
}

func writeFailure(c echo.Context, status int, f message.ErrorResponse) error {
	exchange.WriteErrorResponse(c.Response(), status, f)
	return nil
}
