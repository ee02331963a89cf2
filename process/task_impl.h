#ifndef SEAM_TASK_IMPL_H
#define SEAM_TASK_IMPL_H

/* Shared by the files of the task library only. */

#include <glib.h>

#include "process/task.h"

#define SEAM_TASK_COMMIT_GAP (100 * SEAM_MSEC) /* group commit of a bucket */
#define SEAM_TASK_COMMIT_TIME (2 * SEAM_SEC) /* all attempts of a commit */
#define SEAM_TASK_START_TIME (2 * SEAM_SEC) /* from a commit to start_by */
#define SEAM_TASK_GRACE                                      \
	(2 * SEAM_SEC) /* a worker stops a task in this time \
			*/
#define SEAM_TASK_ASK_GAP (1 * SEAM_SEC) /* between repeated commands */
#define SEAM_TASK_READ_GAP (30 * SEAM_SEC) /* finds what a lost hint missed */
#define SEAM_TASK_DC_GAP (1 * SEAM_SEC) /* age of a data centre's row */
#define SEAM_TASK_READ_GAP_DOWN (500 * SEAM_MSEC) /* the store failed */
#define SEAM_TASK_KEEP (600 * SEAM_SEC) /* ended tasks stay this long */
#define SEAM_TASK_USAGE_AGE (30 * SEAM_SEC) /* older usage is not trusted */
#define SEAM_TASK_OVERUSE (10 * SEAM_SEC) /* throttled before it is moved */
#define SEAM_TASK_POISON 3 /* distinct healthy workers */
#define SEAM_TASK_CRASHES 5 /* workers lost shortly after a start */
/*
 * 380 of 26,000 VMs fail in a day, so a good task meets a failure in the first
 * 30 s of an attempt once in 200,000 attempts.
 */
#define SEAM_TASK_CRASH_TIME (30 * SEAM_SEC)
#define SEAM_TASK_CRASH_GAP (60 * SEAM_SEC) /* a wave is one cause */
#define SEAM_TASK_AVOID_LOST (300 * SEAM_SEC) /* a lost worker may return */
#define SEAM_TASK_RACK_CAUSE (60 * SEAM_SEC) /* one failing rack, one cause */
#define SEAM_TASK_BAD_WORKER 3 /* distinct tasks in a row */
#define SEAM_TASK_PROBE_GAP (30 * SEAM_SEC)
#define SEAM_TASK_REPORTS 256 /* taken in one pass of a bucket */
#define SEAM_TASK_INBOX_PASS 64 /* tickets taken in one pass */

/* A request of a caller on its way through the owner's pass. */
struct seam_ticket {
	struct seam_ticket *next;
	bool cancel;
	struct seam_task task; /* only the id for a cancellation */
	bool applied; /* in memory, not committed yet */
	bool done;
	struct seam_err err;
};

struct seam_wuse {
	char bucket[SEAM_KEY_MAX];
	struct seam_need need;
};

struct seam_wfail {
	char task[SEAM_TASK_ID];
	char pair[132]; /* TEAM/KIND */
	bool elsewhere; /* the task succeeded on another worker afterwards */
};

/* Row of a worker, as last read or written. */
struct seam_wrow {
	char id[64];
	bool known;
	uint64_t version;
	struct seam_wuse *use;
	int uses;
	struct seam_wfail
		fail[SEAM_TASK_BAD_WORKER]; /* in a row, newest last */
	int fails;
	bool quarantined;
	seam_time probe_at;
	char reason[96];
};

/* Row of a data centre's object, as last read. */
struct seam_dcrow {
	uint64_t version;
	bool in;
	seam_time read_at;
};

enum seam_wevent_what { SEAM_W_FAILED, SEAM_W_DONE, SEAM_W_ELSEWHERE };

/* What a pass learned of a worker, applied to its row in the commit. */
struct seam_wevent {
	int what;
	char worker[64];
	char task[SEAM_TASK_ID];
	char pair[132];
};

struct seam_bucket {
	struct seam_tasks *ts;
	char key[SEAM_KEY_MAX];
	char prefix[136]; /* of the ids of its tasks */
	char team[64];
	char queue[64];
	bool held; /* the copy is the row's, plus uncommitted changes */
	bool reload; /* the row may have changed */
	bool dirty;
	bool marked; /* another node left a mark, which a commit removes */
	uint64_t version;
	uint64_t taken; /* version as of which this node is the owner */
	int64_t term; /* grows with each change of the owner */
	char owner[96];
	struct seam_table *table; /* of struct seam_task * */
	struct seam_ticket *inbox; /* locked by ts->lock */
	struct seam_ticket **inbox_end;
	struct seam_wevent *event;
	int events;
	GHashTable *touched; /* workers whose row changes with the commit */
	struct seam_task *plan[SEAM_BUCKET_TASKS]; /* to start, in order */
	int plans;
	int plan_at;
	struct seam_need no_room; /* least that found no room in this pass */
	seam_time commit_at;
	seam_time read_at;
};

struct seam_tasks {
	struct seam_task_ctx c;
	pthread_mutex_t pass; /* held for a whole pass */
	pthread_mutex_t lock; /* buckets and inboxes */
	pthread_cond_t answered;
	GHashTable *buckets; /* key to struct seam_bucket */
	GHashTable *rows; /* worker to struct seam_wrow */
	GHashTable *dcs; /* data centre to struct seam_dcrow */
	bool running; /* a loop runs passes, so callers may wait for them */
	void (*wake)(void *arg);
	void *wake_arg;
	struct seam_worker_report report[SEAM_TASK_REPORTS];
	GHashTable *hinted; /* keys from other nodes; locked */
	GQueue tell; /* keys to tell their owners; locked */
	seam_time tell_at;
	uint64_t epoch; /* members at the last full scan */
	seam_time scan_at;
	seam_time scan_least;
	seam_time mark_at;
	seam_time fleet_at;
	seam_time fleet_as_of;
	uint64_t fleet_changes; /* of the fleet last taken over */
	uint64_t fleet_conf; /* version that it was taken over with */
	char row_after[SEAM_KEY_MAX]; /* last worker row read in this round */
	bool forgotten; /* some rows must be read again */
	bool rows_known; /* the first round is over */
	char load_after[SEAM_KEY_MAX]; /* last row read in this round */
	uint64_t load_round; /* rounds of reading the rows of others */
	seam_time load_read_at; /* next page */
	GHashTable *seen; /* row key to sums of buckets, see task_loads.c */
	GHashTable *rooms; /* pool to struct seam_need of its workers */
	GHashTable *lent; /* team or pool to state, see task_preempt.c */
	seam_time loads_at;
};

/* task_json.c */
struct json_object *seam_task_json(const struct seam_task *t, bool row);
int seam_task_read(struct json_object *o, struct seam_task *t);
char *seam_bucket_text(const struct seam_bucket *b);
int seam_bucket_read(struct seam_bucket *b, const char *text,
		     struct seam_err *e);
void seam_bucket_clear(struct seam_bucket *b);
struct json_object *seam_need_json(const struct seam_need *n);
struct seam_need seam_need_read(struct json_object *o);

/* task_bucket.c */
struct seam_task *seam_task_next(struct seam_table *t, struct seam_handle *h);
struct seam_task *seam_task_add(struct seam_table *t, struct seam_handle *h);
void seam_task_del(struct seam_table *t, struct seam_handle h);
struct seam_task *seam_bucket_find(struct seam_bucket *b, const char *id);
void seam_bucket_drop(struct seam_bucket *b);
int seam_bucket_load(struct seam_bucket *b, seam_time now);
void seam_task_full_id(const struct seam_bucket *b, const struct seam_task *t,
		       char out[SEAM_TASK_ID]);
void seam_bucket_touch(struct seam_bucket *b, const char *worker);
void seam_task_end(struct seam_bucket *b, struct seam_task *t, int state,
		   seam_time now, const char *why);
void seam_task_requeue(struct seam_bucket *b, struct seam_task *t,
		       const char *why);
bool seam_task_active(const struct seam_task *t);

/* task_worker.c */
struct seam_wrow *seam_wrow_get(struct seam_tasks *ts, const char *id,
				seam_time deadline, struct seam_err *e);
void seam_wrow_free(void *p);
void seam_wrow_forget(struct seam_tasks *ts, const char *id);
void seam_wrow_scan(struct seam_tasks *ts, seam_time now);
void seam_wrow_place(struct seam_tasks *ts, struct seam_wrow *w);
void seam_wrow_set_use(struct seam_wrow *w, const char *bucket,
		       const struct seam_need *n);
struct seam_need seam_wrow_sum(const struct seam_wrow *w);
void seam_wrow_event(struct seam_tasks *ts, struct seam_wrow *w,
		     const struct seam_wevent *ev, seam_time now);
char *seam_wrow_text(const struct seam_wrow *w);
bool seam_wrow_quarantined(struct seam_tasks *ts, const char *id);
void seam_bucket_event(struct seam_bucket *b, int what, const char *worker,
		       const struct seam_task *t);

/* task_find.c */
void seam_tasks_find(struct seam_tasks *ts, seam_time now);
void seam_tasks_tell(struct seam_tasks *ts, const char *key, bool urgent);
void seam_bucket_mark_key(const struct seam_bucket *b, char key[SEAM_KEY_MAX]);

/* task_commit.c */
int seam_bucket_commit(struct seam_bucket *b, seam_time now);
struct seam_dcrow *seam_dc_in(struct seam_tasks *ts, const char *dc,
			      seam_time now, struct seam_err *e);

/* task_report.c, task_lease.c, task_start.c, task_put.c */
void seam_bucket_reports(struct seam_bucket *b, seam_time now);
seam_time seam_task_pause_until(const struct seam_task *t);
void seam_task_lost(struct seam_bucket *b, struct seam_task *t, const char *how,
		    seam_time now);
void seam_bucket_leases(struct seam_bucket *b, seam_time now);
void seam_bucket_renew(struct seam_bucket *b, seam_time now);
void seam_bucket_plan(struct seam_bucket *b, seam_time now);
bool seam_bucket_before(struct seam_bucket *a, struct seam_bucket *b,
			seam_time now);
void seam_bucket_start_next(struct seam_bucket *b, seam_time now);
bool seam_task_preempt(struct seam_bucket *b, struct seam_task *t,
		       const struct seam_place_ask *a, seam_time now);
/* Whether a task waits because others are under their share. */
bool seam_task_yields(struct seam_bucket *b, const struct seam_task *t,
		      seam_time now);
/* Takes back lent resources for teams under their share. */
void seam_task_reclaim(struct seam_tasks *ts, GPtrArray *ready, seam_time now);

/* task_loads.c */
void seam_loads_room(struct seam_tasks *ts, const char *pool,
		     const struct seam_need *size);
void seam_loads_pass(struct seam_tasks *ts, GPtrArray *ready, seam_time now);

int seam_bucket_prepare(struct seam_bucket *b, seam_time now);
void seam_bucket_finish(struct seam_bucket *b, seam_time now);
struct seam_bucket *seam_bucket_new(struct seam_tasks *ts, const char *key);
void seam_bucket_free(void *p);
int seam_bucket_copy(struct seam_bucket *b, seam_time deadline,
		     struct seam_err *e);
void seam_bucket_forget(struct seam_bucket *b, struct seam_handle h);
void seam_bucket_inbox(struct seam_bucket *b, seam_time now);
void seam_bucket_answer(struct seam_bucket *b, bool committed);
void seam_ticket_add(struct seam_bucket *b, struct seam_ticket *k);
int seam_task_send(struct seam_bucket *b, struct seam_task *t, int what,
		   seam_time now);

#endif
