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

func (e *Entry) registerJobRoutes(c *echo.Echo) {
	c.POST("/v1/jobs", e.submitJob)
	c.GET("/v1/jobs", func(c echo.Context) error { return c.JSON(http.StatusOK, e.owner.List()) })
	c.GET("/v1/jobs/:id", e.showJob)
	c.DELETE("/v1/jobs/:id", e.cancelJob)
}

func (e *Entry) submitJob(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxJobBytes)
	var request message.JobRequest
	if err := c.Bind(&request); err != nil {
		return writeErrorResponse(c, http.StatusBadRequest, message.ErrorResponse{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonBadRequest,
			Message: "entry: the request body is not a valid JSON job of at most 256 KiB: " + err.Error(),
		})
	}
	status, errorResponse := e.owner.Submit(c.Request().Context(), request)
	if errorResponse != nil {
		counters.Add("jobs-"+errorResponse.Outcome+"-"+errorResponse.Reason, 1)
		return writeErrorResponse(c, exchange.StatusCode(*errorResponse), *errorResponse)
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
	errorResponse := message.ErrorResponse{
		Outcome: message.OutcomeNotRun, Reason: message.ReasonUnknownJob, RequestID: c.Param("id"),
		Message: "entry: no job with this ID is known; ended jobs are removed after some time",
	}
	if !e.batchReader.replayer.CaughtUp() {
		errorResponse.Outcome, errorResponse.Reason = message.OutcomeUnknown, message.ReasonNotReady
		errorResponse.Message, errorResponse.RetryAfterMS = "entry: this entry has not read all job records yet", time.Second.Milliseconds()
		return writeErrorResponse(c, http.StatusServiceUnavailable, errorResponse)
	}
	return writeErrorResponse(c, http.StatusNotFound, errorResponse)
}

func (e *Entry) cancelJob(c echo.Context) error {
	status, errorResponse := e.owner.Cancel(c.Request().Context(), c.Param("id"), message.ReasonCancelled)
	if errorResponse != nil {
		return writeErrorResponse(c, exchange.StatusCode(*errorResponse), *errorResponse)
	}
	counters.Add("jobs-cancelled", 1)
	e.recordEvent("job-cancelled", c.Param("id"), nil)
	return c.JSON(http.StatusOK, status)
}

func writeErrorResponse(c echo.Context, status int, errorResponse message.ErrorResponse) error {
	exchange.WriteErrorResponse(c.Response(), status, errorResponse)
	return nil
}
