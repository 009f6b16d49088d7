package clients_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/standin/estate"
)

const (
	// slowLinkPiece bytes each slowLinkInterval are 10 Mbit/s.
	slowLinkPiece    = 12_500
	slowLinkInterval = 10 * time.Millisecond
)

// slowLink is a body that arrives over a slow link.
type slowLink struct{ rest *bytes.Reader }

func (s *slowLink) Read(b []byte) (int, error) {
	time.Sleep(slowLinkInterval)
	return s.rest.Read(b[:min(len(b), slowLinkPiece)])
}

// largestSubmission returns a legal submission of bodyBytes bytes.
func largestSubmission() []byte {
	text := strings.Repeat("t", 1000)
	steps := make([]string, 64)
	for n := range steps {
		steps[n] = fmt.Sprintf(`{"Count":1,"Cpu":500,"MemMb":50,"EstimateMs":10,"Affinity":%q,"Image":%q}`, text, text)
	}
	body := `{"Spec":"10","Steps":[` + strings.Join(steps, ",") + `]`
	return []byte(body + strings.Repeat(" ", bodyBytes-len(body)-1) + "}")
}

// Guards against limits that refuse a single legal submission: the largest one, from a caller with a slow link.
var _ = Describe("A submission of the largest size is accepted over a slow link", Serial, func() {
	for name, length := range map[string]int64{"of known length": bodyBytes, "in chunks": -1} {
		It(name, func(ctx SpecContext) {
			subnet, err := estate.ReserveSubnet()
			Expect(err).NotTo(HaveOccurred())
			i := &estate.Installation{
				ProgramDir: programDir, OutputDir: GinkgoT().TempDir(), Subnet: subnet, Entries: 1, VMs: 1, Grace: 5 * time.Second,
				MemoryMB: memoryMB, MaxDescriptors: manyDescriptors, MaxBodyBytes: bodyBytes,
			}
			DeferCleanup(i.Stop)
			Expect(i.Start(ctx)).To(Succeed())
			address, err := i.Address(entryName, estate.PortCallers)
			Expect(err).NotTo(HaveOccurred())
			submit := func() string { return submitSlowly(ctx, address, length) }
			Eventually(submit).WithTimeout(answerTimeout).WithPolling(pollInterval).Should(HavePrefix("200"))
		}, NodeTimeout(nodeTimeout))
	}
})

// submitSlowly sends the largest submission over a slow link and returns the status and the body of the response.
func submitSlowly(ctx context.Context, address string, length int64) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+jobPath(1), &slowLink{bytes.NewReader(largestSubmission())})
	Expect(err).NotTo(HaveOccurred())
	request.Host, request.ContentLength = "jobs.example", length
	request.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", string(body), err)
}
