// Rows of cancels that arrived before their job was stored.
#include "request/early_cancel.h"
#include "tests/scheduler_fixture.h"

namespace
{
void put_cancel(World *w, const char *id)
{
	char key[SEAM_KEY_MAX];

	seam_early_cancel_key(id, "q", "w", key);
	w->store.put(key, "");
}

// Sweeps all parts once.
void sweep(Owner *o)
{
	for (size_t i = 0; i < strlen(SEAM_JOB_PARTS); i++) {
		o->sched->cancels_sweep_at = 0;
		scheduler_sweep_cancels(o->sched);
	}
}

// Guards against cancels that stay for ever, or that go before a late POST.
TEST_F(Scheduler, EarlyCancelsGoWithTheSecondSweep)
{
	put_cancel(&w, "0000000000000001");
	put_cancel(&w, "f000000000000001");
	Owner o(&w, "n1");
	sweep(&o);
	EXPECT_EQ(w.store.rows_under(SEAM_EARLY_CANCEL_PREFIX), 2u);
	put_cancel(&w, "f000000000000002");
	sweep(&o);
	EXPECT_EQ(w.store.rows_under(SEAM_EARLY_CANCEL_PREFIX), 1u);
	sweep(&o);
	EXPECT_EQ(w.store.rows_under(SEAM_EARLY_CANCEL_PREFIX), 0u);
}

// Guards against a sweep that ends with its first commit or page.
TEST_F(Scheduler, ManyEarlyCancelsGo)
{
	for (int i = 0; i < 700; i++) {
		char id[SEAM_JOB_ID_SIZE];

		snprintf(id, sizeof(id), "3%015x", i);
		put_cancel(&w, id);
	}
	Owner o(&w, "n1");
	sweep(&o);
	sweep(&o);
	EXPECT_EQ(w.store.rows_under(SEAM_EARLY_CANCEL_PREFIX), 0u);
}

// Guards against a row that is removed although it was written again.
TEST_F(Scheduler, RepeatedEarlyCancelStays)
{
	put_cancel(&w, ID);
	Owner o(&w, "n1");
	sweep(&o);
	put_cancel(&w, ID);
	sweep(&o);
	EXPECT_EQ(w.store.rows_under(SEAM_EARLY_CANCEL_PREFIX), 1u);
}
} // namespace
