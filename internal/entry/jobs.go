package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"bamboohook/internal/exchange"
	"bamboohook/internal/message"
)

// maxJobBytes is the maximum size of the request body of a job submission.
const maxJobBytes = 256 << 10

func (e *Entry) registerJobRoutes(c *echo.Echo) {
	c.POST("/v1/jobs", e.submitJob)
	c.GET("/v1/jobs", func(c echo.Context) error { return c.JSON(http.StatusOK, e.owner.List()) })
	c.GET("/v1/jobs/:id", e.showJob)
	c.DELETE("/v1/jobs/:id", e.cancelJob)
}

// submitJob submits the job in the request body and responds with the status of the job, or with an error if
// the job is not accepted.
func (e *Entry) submitJob(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxJobBytes)
	var request message.JobRequest
	if err := c.Bind(&request); err != nil {
		return writeErrorResponse(c, http.StatusBadRequest, message.ErrorResponse{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonBadRequest,
			Message: "entry: the job is not a JSON object of at most 256 KiB with the keys of a job: " + err.Error(),
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

// showJob responds with the status of the job with the ID in the path. While this entry has not read the whole
// batch stream, which records the jobs, it cannot tell whether a job that it does not know exists. It then
// responds that it is not ready.
func (e *Entry) showJob(c echo.Context) error {
	status, ok := e.owner.Status(c.Param("id"))
	if ok {
		return c.JSON(http.StatusOK, status)
	}
	errorResponse := message.ErrorResponse{
		Outcome: message.OutcomeNotRun, Reason: message.ReasonUnknownJob, RequestID: c.Param("id"),
		Message: "entry: no job with this id is known; ended jobs are forgotten after a time",
	}
	if !e.batchReader.replayer.CaughtUp() {
		errorResponse.Outcome, errorResponse.Reason = message.OutcomeUnknown, message.ReasonNotReady
		errorResponse.Message, errorResponse.RetryAfterMS = "entry: the records of jobs are not read yet", time.Second.Milliseconds()
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
