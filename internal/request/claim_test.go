package request

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform/platformtest"
	"dogwoodpond/internal/service"
)

const farm contract.Account = "farm"

const deposit = "tree-17"

var (
	charge = service.Call{Method: http.MethodPost, Path: "/deposit", Body: []byte(`{"cents":2500}`)}
	paid   = service.Answer{Status: http.StatusOK, Body: []byte("paid")}
)

// take claims the deposit for the farm.
func take(c *Claims) (Claim, error) {
	return c.Take(context.Background(), farm, deposit, Fingerprint("desk", charge))
}

// vms returns the claims of several VMs over one store.
func vms(w *platformtest.World, names ...string) []*Claims {
	var all []*Claims
	for _, name := range names {
		all = append(all, NewClaims(w.Start(context.Background(), name)))
	}
	return all
}

func wantFault[T error](t *testing.T, err error) {
	t.Helper()
	if !fault.Is[T](err) {
		var want T
		t.Errorf("err = %v, want %T", err, want)
	}
}

// A family presses "pay" twice and the two requests reach two VMs. Both running
// would charge the deposit twice.
func TestSecondClaimDoesNotRun(t *testing.T) {
	w := platformtest.NewWorld(platformtest.NoFaults)
	vm := vms(w, "vm-1", "vm-2")
	first, err := take(vm[0])
	if err != nil || first.Answer != nil {
		t.Fatalf("first claim: %+v, %v", first, err)
	}
	_, err = take(vm[0])
	wantFault[*fault.ClaimInProgress](t, err)
	_, err = take(vm[1])
	wantFault[*fault.ClaimUnknown](t, err)
	if err := vm[0].Finish(context.Background(), first, paid); err != nil {
		t.Fatal(err)
	}
	again, err := take(vm[1])
	if err != nil || again.Answer == nil || string(again.Answer.Body) != "paid" {
		t.Errorf("repeat after the outcome: %+v, %v", again, err)
	}
}

// The run ended without a known outcome, for example by a broken connection to
// the desk. A repeat on the same VM must not be told that it is still running,
// or the family would wait for ever.
func TestLeftClaimIsUnknown(t *testing.T) {
	vm := vms(platformtest.NewWorld(platformtest.NoFaults), "vm-1")
	claim, err := take(vm[0])
	if err != nil {
		t.Fatal(err)
	}
	vm[0].Leave(claim)
	_, err = take(vm[0])
	wantFault[*fault.ClaimUnknown](t, err)
}

// The claim is stored but its reply is lost. Running nothing would refuse a
// request that could run; claiming again would look like somebody else's claim.
func TestClaimWithALostReplyRuns(t *testing.T) {
	for _, kind := range []platformtest.Kind{platformtest.LoseReply, platformtest.LoseRequest, platformtest.Late} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := platformtest.NewWorld(func(s platformtest.Step) platformtest.Fault {
					if s.Process == "vm-1" && s.Index == 0 {
						return platformtest.Fault{Kind: kind, For: 10 * time.Second}
					}
					return platformtest.Fault{}
				})
				vm := vms(w, "vm-1", "vm-2")
				if _, err := take(vm[0]); err != nil {
					t.Errorf("first claim: %v", err)
				}
				time.Sleep(time.Minute)
				_, err := take(vm[1])
				wantFault[*fault.ClaimUnknown](t, err)
			})
		})
	}
}

// The VM gives up before anything was sent and says "not run". The caller tries
// again elsewhere, and the request must run then.
func TestWithdrawnClaimCanBeTakenAgain(t *testing.T) {
	for _, kind := range []platformtest.Kind{platformtest.None, platformtest.LoseReply, platformtest.LoseRequest} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := platformtest.NewWorld(func(s platformtest.Step) platformtest.Fault {
					if s.Process == "vm-1" && s.Index == 2 { // the withdrawal's commit
						return platformtest.Fault{Kind: kind}
					}
					return platformtest.Fault{}
				})
				vm := vms(w, "vm-1", "vm-2")
				claim, err := take(vm[0])
				if err != nil {
					t.Fatal(err)
				}
				if err := vm[0].Withdraw(context.Background(), claim); err != nil {
					t.Errorf("withdraw: %v", err)
				}
				second, err := take(vm[1])
				if err != nil || second.Answer != nil {
					t.Errorf("claim after the withdrawal: %+v, %v", second, err)
				}
				// The outcome is stored although versions don't begin anew.
				if err := vm[1].Finish(context.Background(), second, paid); err != nil {
					t.Fatal(err)
				}
				again, err := take(vm[0])
				if err != nil || again.Answer == nil {
					t.Errorf("repeat after the outcome: %+v, %v", again, err)
				}
			})
		})
	}
}

// A withdrawal is late: it reaches the store after the key was claimed and run
// again. It must not remove that claim, or a third request would run.
func TestLateWithdrawalLeavesALaterClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := platformtest.NewWorld(func(s platformtest.Step) platformtest.Fault {
			if s.Process == "vm-1" && s.Index == 2 {
				return platformtest.Fault{Kind: platformtest.Late, For: time.Minute}
			}
			return platformtest.Fault{}
		})
		vm := vms(w, "vm-1", "vm-2", "vm-3")
		claim, _ := take(vm[0])
		if err := vm[0].Withdraw(context.Background(), claim); err != nil {
			t.Fatal(err)
		}
		if _, err := take(vm[1]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		_, err := take(vm[2])
		wantFault[*fault.ClaimUnknown](t, err)
	})
}

// Another account, another body or another service uses the same idempotency
// key. Nobody may get an answer that belongs to somebody else.
func TestClaimsOfOthersAreApart(t *testing.T) {
	ctx := context.Background()
	vm := vms(platformtest.NewWorld(platformtest.NoFaults), "vm-1")[0]
	claim, err := vm.Take(ctx, "a", "b/c", Fingerprint("desk", charge))
	if err != nil {
		t.Fatal(err)
	}
	if err := vm.Finish(ctx, claim, paid); err != nil {
		t.Fatal(err)
	}
	other, err := vm.Take(ctx, "a/b", "c", Fingerprint("desk", charge))
	if err != nil || other.Answer != nil {
		t.Errorf("the other account got %+v, %v", other, err)
	}
	_, err = vm.Take(ctx, "a", "b/c", Fingerprint("clinic", charge))
	wantFault[*fault.ClaimMismatch](t, err)
	changed := charge
	changed.Body = []byte(`{"cents":1}`)
	_, err = vm.Take(ctx, "a", "b/c", Fingerprint("desk", changed))
	wantFault[*fault.ClaimMismatch](t, err)
}

// The store is silent when a claim is taken, so it is not known whether the
// claim stands. The request must not run, also when the claim arrives later.
func TestClaimOverASilentStoreDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := platformtest.NewWorld(platformtest.NoFaults)
		w.TakeDown(10 * time.Minute)
		_, err := take(vms(w, "vm-1")[0])
		wantFault[*fault.StoreUnavailable](t, err)
		row, _ := w.Rows.Get(context.Background(), rowKey(farm, deposit))
		if row.Exists() {
			t.Error("a claim stands")
		}
	})
}

// A VM settles the same claim twice, with another VM's claim between the two.
// The second time must leave the other claim alone.
func TestSettlingTwiceLeavesALaterClaim(t *testing.T) {
	ctx := context.Background()
	vm := vms(platformtest.NewWorld(platformtest.NoFaults), "vm-1", "vm-2")
	claim, _ := take(vm[0])
	if err := vm[0].Withdraw(ctx, claim); err != nil {
		t.Fatal(err)
	}
	later, err := take(vm[1])
	if err != nil {
		t.Fatal(err)
	}
	if err := vm[0].Withdraw(ctx, claim); err != nil {
		t.Fatal(err)
	}
	if err := vm[0].Finish(ctx, claim, service.Answer{Body: []byte("of the first claim")}); err != nil {
		t.Fatal(err)
	}
	if err := vm[1].Finish(ctx, later, paid); err != nil {
		t.Fatal(err)
	}
	again, err := take(vm[0])
	if err != nil || again.Answer == nil || string(again.Answer.Body) != "paid" {
		t.Errorf("repeat: %+v, %v", again, err)
	}
}
