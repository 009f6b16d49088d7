package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/standin/estate"
)

var _ = Describe("The explanation of a job", func() {
	// Guards against an explanation that only the owner gives, or that submits the job.
	It("is given by each entry, and leaves no job", func(ctx SpecContext) {
		subnet, err := estate.ReserveSubnet()
		Expect(err).NotTo(HaveOccurred())
		i := &estate.Installation{
			ProgramDir: programDir, OutputDir: GinkgoT().TempDir(), Subnet: subnet, Entries: entryCount, VMs: vmCount, Grace: 5 * time.Second, RemoteFactor: 2,
		}
		DeferCleanup(i.Stop)
		Expect(i.Start(ctx)).To(Succeed())
		file := filepath.Join(GinkgoT().TempDir(), "job.json")
		job := `{"Spec":"300","Steps":[{"Count":6,"Cpu":2000,"MemMb":64,"EstimateMs":300,"Affinity":"r1"},{"Count":1,"Cpu":500,"MemMb":64,"After":[0]}]}`
		Expect(os.WriteFile(file, []byte(job), 0o600)).To(Succeed())
		explain := func(entry int, flags ...string) (string, error) {
			arguments := append([]string{"platform", "explain", "--entry", i.EntryPeerAddress(entry), "--queue", "r0", file}, flags...)
			output, err := exec.CommandContext(ctx, filepath.Join(programDir, "bamboohook"), arguments...).Output()
			return string(output), err
		}
		for n := range entryCount {
			Eventually(func() int {
				output, err := explain(n, "--output=json")
				var explanation messenger.Explanation
				if err != nil || json.Unmarshal([]byte(output), &explanation) != nil {
					return 0
				}
				started := 0
				for _, p := range explanation.Steps[0].Places {
					started += p.Tasks
				}
				return started
			}).WithTimeout(10*time.Second).Should(Equal(6), "entry %d", n)
		}
		status, _, body, err := i.Call(ctx, 0, http.MethodGet, "", nil)
		Expect([]any{status, body, err}).To(Equal([]any{http.StatusOK, "{\"Pending\":0}\n", nil}))
		Expect(i.Events()).To(BeEmpty())

		// The rack r1 has room for four of the tasks. While it is in use, tasks wait for it.
		loadCtx, endLoad := context.WithCancel(ctx)
		defer endLoad()
		go func() {
			for n := 0; loadCtx.Err() == nil; n++ {
				var body map[string]any
				_ = json.Unmarshal([]byte(job), &body)
				_, _, _, _ = i.Call(loadCtx, n%entryCount, http.MethodPost, fmt.Sprintf("%016x", 0xccc000+n), body)
				time.Sleep(400 * time.Millisecond)
			}
		}()
		Eventually(func() bool {
			output, err := explain(1, "--output=json")
			var explanation messenger.Explanation
			if err != nil || json.Unmarshal([]byte(output), &explanation) != nil || len(explanation.Steps[0].Waits) == 0 {
				return false
			}
			table, err := explain(1)
			GinkgoWriter.Println(output, table)
			return err == nil
		}).WithTimeout(20 * time.Second).Should(BeTrue())
	}, NodeTimeout(2*time.Minute))
})
