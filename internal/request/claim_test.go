package request

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi/faultinject"
	"dogwoodpond/internal/service"
)

const testAccount contract.Account = "farm"

const depositKey = "tree-17"

var (
	depositCall = service.Call{Method: http.MethodPost, Path: "/deposit", Body: []byte(`{"cents":2500}`)}
	paidAnswer  = service.Answer{Status: http.StatusOK, Body: []byte("paid")}
)

// acquire claims the key of the deposit on one VM.
func acquire(c *Claims) (Claim, error) {
	return c.Acquire(context.Background(), testAccount, depositKey, Fingerprint("desk", depositCall))
}

// startVMs starts VMs that use the same store and returns the Claims of each.
func startVMs(cluster *faultinject.Cluster, names ...string) []*Claims {
	var all []*Claims
	for _, name := range names {
		all = append(all, NewClaims(cluster.Start(context.Background(), name)))
	}
	return all
}

func wantError[T error](t *testing.T, err error) {
	t.Helper()
	if !fault.Is[T](err) {
		var want T
		t.Errorf("err = %v, want %T", err, want)
	}
}

// A caller sends the same payment twice and the two requests reach two VMs. If
// both ran, the deposit would be charged twice.
func TestDuplicateDoesNotRun(t *testing.T) {
	cluster := faultinject.NewCluster(faultinject.NoFaults)
	claims := startVMs(cluster, "vm-1", "vm-2")
	first, err := acquire(claims[0])
	if err != nil || first.Answer != nil {
		t.Fatalf("first claim: %+v, %v", first, err)
	}
	_, err = acquire(claims[0])
	wantError[*fault.ClaimInProgress](t, err)
	_, err = acquire(claims[1])
	wantError[*fault.ClaimUnknown](t, err)
	if err := claims[0].Finish(context.Background(), first, paidAnswer); err != nil {
		t.Fatal(err)
	}
	duplicate, err := acquire(claims[1])
	if err != nil || duplicate.Answer == nil || string(duplicate.Answer.Body) != "paid" {
		t.Errorf("duplicate after the outcome: %+v, %v", duplicate, err)
	}
}

// A request ended with an unknown outcome, for example because the connection to
// the service broke. A duplicate on the same VM must not be answered with "in
// progress", or the caller would send it again forever.
func TestClaimWithUnknownOutcomeIsNotInProgress(t *testing.T) {
	claims := startVMs(faultinject.NewCluster(faultinject.NoFaults), "vm-1")
	claim, err := acquire(claims[0])
	if err != nil {
		t.Fatal(err)
	}
	claims[0].Abandon(claim)
	_, err = acquire(claims[0])
	wantError[*fault.ClaimUnknown](t, err)
}

// The commit of a claim loses its request or its reply, or is delayed. If the VM
// mistook its own claim for another VM's, it would refuse a request that may run.
func TestClaimSurvivesCommitFaults(t *testing.T) {
	for _, kind := range []faultinject.Kind{faultinject.LoseReply, faultinject.LoseRequest, faultinject.DelayEffect} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
					if s.Process == "vm-1" && s.Index == 0 {
						return faultinject.Fault{Kind: kind, Duration: 10 * time.Second}
					}
					return faultinject.Fault{}
				})
				claims := startVMs(cluster, "vm-1", "vm-2")
				if _, err := acquire(claims[0]); err != nil {
					t.Errorf("first claim: %v", err)
				}
				time.Sleep(time.Minute)
				_, err := acquire(claims[1])
				wantError[*fault.ClaimUnknown](t, err)
			})
		})
	}
}

// A VM withdraws a claim because nothing was sent, and reports that the request
// did not run. When the caller repeats the request at another VM, it must run.
func TestWithdrawnKeyCanBeClaimed(t *testing.T) {
	for _, kind := range []faultinject.Kind{faultinject.None, faultinject.LoseReply, faultinject.LoseRequest} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
					if s.Process == "vm-1" && s.Index == 2 { // the withdrawal's commit
						return faultinject.Fault{Kind: kind}
					}
					return faultinject.Fault{}
				})
				claims := startVMs(cluster, "vm-1", "vm-2")
				claim, err := acquire(claims[0])
				if err != nil {
					t.Fatal(err)
				}
				if err := claims[0].Withdraw(context.Background(), claim); err != nil {
					t.Errorf("withdraw: %v", err)
				}
				second, err := acquire(claims[1])
				if err != nil || second.Answer != nil {
					t.Errorf("claim after the withdrawal: %+v, %v", second, err)
				}
				// The row's version does not restart after the delete; the outcome must
				// be stored nevertheless.
				if err := claims[1].Finish(context.Background(), second, paidAnswer); err != nil {
					t.Fatal(err)
				}
				duplicate, err := acquire(claims[0])
				if err != nil || duplicate.Answer == nil {
					t.Errorf("duplicate after the outcome: %+v, %v", duplicate, err)
				}
			})
		})
	}
}

// A withdrawal takes effect only after another VM has claimed the key. It must not
// remove that claim, or the request could run a second time.
func TestLateWithdrawalKeepsLaterClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
			if s.Process == "vm-1" && s.Index == 2 {
				return faultinject.Fault{Kind: faultinject.DelayEffect, Duration: time.Minute}
			}
			return faultinject.Fault{}
		})
		claims := startVMs(cluster, "vm-1", "vm-2", "vm-3")
		claim, _ := acquire(claims[0])
		if err := claims[0].Withdraw(context.Background(), claim); err != nil {
			t.Fatal(err)
		}
		if _, err := acquire(claims[1]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		_, err := acquire(claims[2])
		wantError[*fault.ClaimUnknown](t, err)
	})
}

// Another account, another body or another service uses the same idempotency
// key. No request may get the answer of another one.
func TestClaimsAreSeparatePerRequest(t *testing.T) {
	ctx := context.Background()
	claims := startVMs(faultinject.NewCluster(faultinject.NoFaults), "vm-1")[0]
	claim, err := claims.Acquire(ctx, "a", "b/c", Fingerprint("desk", depositCall))
	if err != nil {
		t.Fatal(err)
	}
	if err := claims.Finish(ctx, claim, paidAnswer); err != nil {
		t.Fatal(err)
	}
	other, err := claims.Acquire(ctx, "a/b", "c", Fingerprint("desk", depositCall))
	if err != nil || other.Answer != nil {
		t.Errorf("the other account got %+v, %v", other, err)
	}
	_, err = claims.Acquire(ctx, "a", "b/c", Fingerprint("clinic", depositCall))
	wantError[*fault.ClaimMismatch](t, err)
	changed := depositCall
	changed.Body = []byte(`{"cents":1}`)
	_, err = claims.Acquire(ctx, "a", "b/c", Fingerprint("desk", changed))
	wantError[*fault.ClaimMismatch](t, err)
}

// The store does not answer while a key is claimed, so it is unknown whether the
// claim is stored. The request must not run, even if the claim takes effect later.
func TestClaimFailsWhileStoreIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		cluster.TakeStoreDown(10 * time.Minute)
		_, err := acquire(startVMs(cluster, "vm-1")[0])
		wantError[*fault.StoreUnavailable](t, err)
		row, _ := cluster.Rows.Get(context.Background(), rowKey(testAccount, depositKey))
		if row.Exists() {
			t.Error("a claim was stored")
		}
	})
}

// A VM ends the same claim several times, and another VM claims the key after the
// first. The later calls must not change the other VM's claim.
func TestEndingClaimAgainKeepsLaterClaim(t *testing.T) {
	ctx := context.Background()
	claims := startVMs(faultinject.NewCluster(faultinject.NoFaults), "vm-1", "vm-2")
	claim, _ := acquire(claims[0])
	if err := claims[0].Withdraw(ctx, claim); err != nil {
		t.Fatal(err)
	}
	later, err := acquire(claims[1])
	if err != nil {
		t.Fatal(err)
	}
	if err := claims[0].Withdraw(ctx, claim); err != nil {
		t.Fatal(err)
	}
	if err := claims[0].Finish(ctx, claim, service.Answer{Body: []byte("of the first claim")}); err != nil {
		t.Fatal(err)
	}
	if err := claims[1].Finish(ctx, later, paidAnswer); err != nil {
		t.Fatal(err)
	}
	duplicate, err := acquire(claims[0])
	if err != nil || duplicate.Answer == nil || string(duplicate.Answer.Body) != "paid" {
		t.Errorf("duplicate: %+v, %v", duplicate, err)
	}
}

// Guards against a request that can never run: a late copy of a claim takes effect after the
// claim was withdrawn, and every repeat is refused.
func TestLateClaimDoesNotBlockWithdrawnKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
			if s.Process == "vm-1" && s.Index == 0 {
				return faultinject.Fault{Kind: faultinject.DelayEffect, Duration: 30 * time.Second}
			}
			return faultinject.Fault{}
		})
		claims := startVMs(cluster, "vm-1", "vm-2")
		claim, err := acquire(claims[0])
		if err != nil {
			t.Fatal(err)
		}
		if err := claims[0].Withdraw(context.Background(), claim); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if _, err := acquire(claims[1]); err != nil {
			t.Errorf("claim after the withdrawal: %v", err)
		}
	})
}

// Guards against a caller that is told to look for the outcome of a request that still runs: the
// withdrawal of an earlier claim ends after the key was claimed again on the same VM.
func TestEndOfWithdrawnClaimKeepsLaterClaimInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(func(s faultinject.Step) faultinject.Fault {
			if s.Index == 2 { // the withdrawal's commit
				return faultinject.Fault{Kind: faultinject.LoseReply}
			}
			return faultinject.Fault{}
		})
		claims := startVMs(cluster, "vm-1")[0]
		first, err := acquire(claims)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = claims.Withdraw(context.Background(), first) }()
		synctest.Wait()
		if _, err := acquire(claims); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		_, err = acquire(claims)
		wantError[*fault.ClaimInProgress](t, err)
	})
}
