#ifndef SEAM_TASK_IMPL_H
#define SEAM_TASK_IMPL_H

/* Internal to the task library. */

#include <glib.h>

#include "process/task.h"

#define SEAM_TASK_COMMIT_INTERVAL \
	(100 * SEAM_MSEC) /* between commits of a bucket */
#define SEAM_TASK_COMMIT_TIMEOUT (2 * SEAM_SEC) /* a commit and its retries */
#define SEAM_TASK_START_TIMEOUT \
	(2 * SEAM_SEC) /* from the planned start to start_by */
#define SEAM_TASK_GRACE (2 * SEAM_SEC) /* for a worker to stop a task */
#define SEAM_TASK_COMMAND_INTERVAL \
	(1 * SEAM_SEC) /* between repeated commands */
#define SEAM_TASK_READ_INTERVAL \
	(30 * SEAM_SEC) /* finds changes whose hint was lost */
#define SEAM_TASK_DC_MAX_AGE (1 * SEAM_SEC) /* of the row of a data centre */
#define SEAM_TASK_READ_RETRY (500 * SEAM_MSEC) /* after a failed store call */
#define SEAM_TASK_RETENTION (600 * SEAM_SEC) /* of ended tasks */
#define SEAM_TASK_USAGE_TTL (30 * SEAM_SEC) /* older reports are ignored */
#define SEAM_TASK_OVERUSE_TIME \
	(10 * SEAM_SEC) /* throttled before it is moved */
#define SEAM_TASK_FAILED_WORKERS_MAX 3 /* distinct healthy workers */
#define SEAM_TASK_CRASHES_MAX 5 /* workers lost shortly after a start */
/*
 * 380 of 26,000 VMs fail per day, so an unrelated VM failure falls into the
 * first 30 s of an attempt once in 200,000 attempts.
 */
#define SEAM_TASK_CRASH_WINDOW (30 * SEAM_SEC)
#define SEAM_TASK_CRASH_INTERVAL \
	(60 * SEAM_SEC) /* crashes closer together count as one */
#define SEAM_TASK_AVOID_LOST_TIME \
	(300 * SEAM_SEC) /* then a lost worker is used again */
#define SEAM_TASK_RACK_FAILURE_WINDOW \
	(60 * SEAM_SEC) /* failures on one rack count as one */
#define SEAM_TASK_QUARANTINE_FAILS \
	3 /* consecutive failures of distinct tasks */
#define SEAM_TASK_PROBE_INTERVAL (30 * SEAM_SEC)
#define SEAM_TASK_REPORTS_PER_PASS 256 /* of one bucket */
#define SEAM_TASK_REQUESTS_PER_PASS 64 /* of one bucket */

/* A submission or cancellation that waits for a pass of the owner. */
struct seam_task_request {
	struct seam_task_request *next;
	bool cancel;
	struct seam_task task; /* a cancellation sets only the id */
	bool applied; /* in memory, not committed yet */
	bool done;
	struct seam_err err;
};

struct seam_worker_use {
	char bucket[SEAM_KEY_MAX];
	struct seam_need need;
};

struct seam_worker_fail {
	char task[SEAM_TASK_ID_SIZE];
	char pair[132]; /* TEAM/KIND */
	bool elsewhere; /* the task then succeeded on another worker */
};

/* Row of a worker, as last read or written. */
struct seam_worker_row {
	char id[64];
	bool known;
	bool unreadable; /* its uses are not known; it is not written */
	uint64_t version;
	struct seam_worker_use *use;
	int n_uses;
	/* Consecutive failures, newest last. */
	struct seam_worker_fail fail[SEAM_TASK_QUARANTINE_FAILS];
	int fails;
	bool quarantined;
	seam_time probe_at;
	char reason[96];
};

/* Row of the object of a data centre, as last read. */
struct seam_dc_row {
	uint64_t version;
	bool in;
	seam_time read_at;
};

enum seam_worker_event_type {
	SEAM_WORKER_TASK_FAILED,
	SEAM_WORKER_TASK_DONE,
	SEAM_WORKER_TASK_DONE_ELSEWHERE
};

/* Outcome of an attempt, applied to the row of its worker in the commit. */
struct seam_worker_event {
	int type;
	char worker[64];
	char task[SEAM_TASK_ID_SIZE];
	char pair[132];
};

struct seam_bucket {
	struct seam_tasks *ts;
	char key[SEAM_KEY_MAX];
	char prefix[136]; /* of the full ids of its tasks */
	char team[64];
	char queue[64];
	bool held; /* the copy is the row plus uncommitted changes */
	bool reload; /* the row may have changed since it was read */
	bool dirty;
	bool marked; /* a mark exists, which the next commit deletes */
	uint64_t version;
	uint64_t owned_version; /* row version when this node became owner */
	int64_t term; /* incremented when the owner changes */
	char owner[96];
	struct seam_table *table; /* of struct seam_task * */
	struct seam_task_request *inbox; /* protected by ts->lock */
	struct seam_task_request **inbox_end;
	struct seam_worker_event *event;
	int events;
	GHashTable *touched; /* workers whose rows change in the commit */
	/* Tasks to start, in order. */
	struct seam_task *plan[SEAM_BUCKET_TASKS_MAX];
	int plans;
	int plan_next;
	struct seam_need no_room; /* last size without a worker in this pass */
	seam_time commit_at;
	seam_time read_at;
};

struct seam_tasks {
	struct seam_task_ctx c;
	pthread_mutex_t pass; /* held for a whole pass */
	pthread_mutex_t lock; /* protects @buckets, inboxes and hints */
	pthread_cond_t answered;
	GHashTable *buckets; /* key to struct seam_bucket */
	GHashTable *rows; /* worker to struct seam_worker_row */
	GHashTable *dcs; /* data centre to struct seam_dc_row */
	bool running; /* a thread runs passes, so callers can wait for one */
	void (*wake)(void *arg);
	void *wake_arg;
	struct seam_worker_report report[SEAM_TASK_REPORTS_PER_PASS];
	GHashTable *received_hints; /* row keys; protected by @lock */
	GQueue pending_hints; /* row keys to send; protected by @lock */
	seam_time hint_sent_until;
	uint64_t epoch; /* of the ownership, at the last full scan */
	seam_time scan_at;
	seam_time scan_not_before;
	seam_time mark_at;
	seam_time fleet_at;
	seam_time fleet_as_of;
	uint64_t fleet_changes; /* counter of the fleet last applied */
	uint64_t fleet_conf; /* configuration version it was applied with */
	char row_cursor[SEAM_KEY_MAX]; /* last worker row read in this scan */
	/* Newest worker row that was logged as ignored. */
	uint64_t ignored_row_version;
	bool rows_stale; /* some worker rows must be read again */
	bool rows_loaded; /* the first scan is complete */
	char load_cursor[SEAM_KEY_MAX]; /* last bucket row read in this round */
	uint64_t load_round; /* completed scans of bucket rows for their load */
	seam_time load_read_at; /* time to read the next page */
	/* Row key to load of the bucket, see task_loads.c. */
	GHashTable *seen;
	GHashTable *
		capacity_by_pool; /* pool to total size of its usable workers */
	GHashTable *lending; /* team or pool to state, see task_preempt.c */
	seam_time loads_at;
};

/* task_json.c */
struct json_object *seam_task_json(const struct seam_task *t, bool row);
int seam_task_parse(struct json_object *o, struct seam_task *t);
char *seam_bucket_serialize(const struct seam_bucket *b);
int seam_bucket_parse(struct seam_bucket *b, const char *text,
		      struct seam_err *e);
void seam_bucket_clear(struct seam_bucket *b);
struct json_object *seam_need_json(const struct seam_need *n);
struct seam_need seam_need_parse(struct json_object *o);

/* task_bucket.c */
struct seam_task *seam_task_next(struct seam_table *t, struct seam_handle *h);
struct seam_task *seam_task_add(struct seam_table *t, struct seam_handle *h);
void seam_task_del(struct seam_table *t, struct seam_handle h);
struct seam_task *seam_bucket_find(struct seam_bucket *b, const char *id);
void seam_bucket_release(struct seam_bucket *b);
int seam_bucket_load(struct seam_bucket *b, seam_time now);
void seam_task_full_id(const struct seam_bucket *b, const struct seam_task *t,
		       char out[SEAM_TASK_ID_SIZE]);
void seam_bucket_touch(struct seam_bucket *b, const char *worker);
void seam_task_end(struct seam_bucket *b, struct seam_task *t, int state,
		   seam_time now, const char *why);
void seam_task_requeue(struct seam_bucket *b, struct seam_task *t,
		       const char *why);
bool seam_task_active(const struct seam_task *t);

/* task_worker.c */
struct seam_worker_row *seam_worker_row_get(struct seam_tasks *ts,
					    const char *id, seam_time deadline,
					    struct seam_err *e);
void seam_worker_row_free(void *p);
void seam_worker_row_invalidate(struct seam_tasks *ts, const char *id);
void seam_worker_rows_scan(struct seam_tasks *ts, seam_time now);
void seam_worker_row_update_placement(struct seam_tasks *ts,
				      struct seam_worker_row *w);
void seam_worker_row_set_use(struct seam_worker_row *w, const char *bucket,
			     const struct seam_need *n);
struct seam_need seam_worker_row_committed(const struct seam_worker_row *w);
void seam_worker_row_apply_event(struct seam_tasks *ts,
				 struct seam_worker_row *w,
				 const struct seam_worker_event *ev,
				 seam_time now);
char *seam_worker_row_serialize(const struct seam_worker_row *w);
bool seam_worker_quarantined(struct seam_tasks *ts, const char *id);
void seam_bucket_add_worker_event(struct seam_bucket *b, int type,
				  const char *worker,
				  const struct seam_task *t);

/* task_find.c */
void seam_tasks_find_changes(struct seam_tasks *ts, seam_time now);
void seam_tasks_queue_hint(struct seam_tasks *ts, const char *key, bool urgent);
void seam_bucket_mark_key(const struct seam_bucket *b, char key[SEAM_KEY_MAX]);

/* task_commit.c */
int seam_bucket_commit(struct seam_bucket *b, seam_time now);
struct seam_dc_row *seam_dc_in(struct seam_tasks *ts, const char *dc,
			       seam_time now, struct seam_err *e);

/* task_report.c, task_lease.c, task_start.c, task_submit.c */
void seam_bucket_apply_reports(struct seam_bucket *b, seam_time now);
seam_time seam_task_backoff_until(const struct seam_task *t);
void seam_task_lost(struct seam_bucket *b, struct seam_task *t, const char *how,
		    seam_time now);
void seam_bucket_check_leases(struct seam_bucket *b, seam_time now);
void seam_bucket_renew(struct seam_bucket *b, seam_time now);
void seam_bucket_plan(struct seam_bucket *b, seam_time now);
bool seam_bucket_starts_before(struct seam_bucket *a, struct seam_bucket *b,
			       seam_time now);
void seam_bucket_start_next(struct seam_bucket *b, seam_time now);
bool seam_task_preempt(struct seam_bucket *b, struct seam_task *t,
		       const struct seam_place_request *a, seam_time now);
/* Whether tasks of teams under their share start before this one. */
bool seam_task_yields(struct seam_bucket *b, const struct seam_task *t,
		      seam_time now);
/* Reclaims lent resources for teams under their share. */
void seam_task_reclaim(struct seam_tasks *ts, GPtrArray *ready, seam_time now);

/* task_loads.c */
void seam_loads_add_capacity(struct seam_tasks *ts, const char *pool,
			     const struct seam_need *size);
void seam_loads_update(struct seam_tasks *ts, GPtrArray *ready, seam_time now);

int seam_bucket_prepare(struct seam_bucket *b, seam_time now);
void seam_bucket_finish(struct seam_bucket *b, seam_time now);
struct seam_bucket *seam_bucket_new(struct seam_tasks *ts, const char *key);
void seam_bucket_free(void *p);
int seam_bucket_fetch(struct seam_bucket *b, seam_time deadline,
		      struct seam_err *e);
void seam_bucket_remove_task(struct seam_bucket *b, struct seam_handle h);
void seam_bucket_apply_requests(struct seam_bucket *b, seam_time now);
void seam_bucket_complete_requests(struct seam_bucket *b, bool committed);
void seam_task_request_add(struct seam_bucket *b, struct seam_task_request *r);
int seam_task_send(struct seam_bucket *b, struct seam_task *t, int cmd_type,
		   seam_time now);

#endif
