#ifndef SEAM_WORKERLINK_H
#define SEAM_WORKERLINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/err.h"
#include "process/size.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_TASK_ID 176 /* TEAM~QUEUE~BUCKET~HEX */

/** enum seam_worker_do - commands to a worker */
enum seam_worker_do {
	SEAM_DO_START,
	SEAM_DO_RENEW,
	SEAM_DO_CHECKPOINT, /* checkpoint, then stop */
	SEAM_DO_THROTTLE, /* hold to @need */
	SEAM_DO_STOP /* stop; refuse the attempt if it has not started */
};

/**
 * enum seam_worker_say - what a worker states of an attempt
 * @SEAM_SAY_NOT_STARTED: it did not start and will be refused from now on
 * @SEAM_SAY_ABSENT: never heard of it; it may still start
 * @SEAM_SAY_FENCED: the command's token is older than one seen
 * @SEAM_SAY_STOPPED: it stopped before its end, on command or because its
 *                    lease expired
 */
enum seam_worker_say {
	SEAM_SAY_RUNNING,
	SEAM_SAY_DONE,
	SEAM_SAY_FAILED,
	SEAM_SAY_STOPPED,
	SEAM_SAY_NOT_STARTED,
	SEAM_SAY_ABSENT,
	SEAM_SAY_FENCED
};

/**
 * struct seam_worker_cmd - a command for one attempt of a task
 * @what: enum seam_worker_do
 * @worker: id of the worker
 * @addr: its IP:PORT
 * @task: full id of the task
 * @attempt: number of the attempt, from 1
 * @token: version of the bucket row that the sender last wrote; a worker
 *         refuses a command whose token is older than one it has seen for the
 *         task
 * @boot: boots of the worker when the start was committed; a worker that has
 *        been rebooted since refuses the start, because it has forgotten
 *        whether it had run the attempt
 * @start_by: a start after this time is refused
 * @lease_until: the worker stops the task then unless renewed
 * @need: reserved resources
 * @team: team
 * @kind: kind of the task
 * @payload: JSON text for the task, owned by the sender during the call
 */
struct seam_worker_cmd {
	int what;
	char worker[64];
	char addr[64];
	char task[SEAM_TASK_ID];
	int64_t attempt;
	uint64_t token;
	int64_t boot;
	seam_time start_by;
	seam_time lease_until;
	struct seam_need need;
	char team[64];
	char kind[64];
	const char *payload;
};

/**
 * struct seam_worker_report - a worker's statement about an attempt
 * @say: enum seam_worker_say
 * @worker: id of the worker
 * @task: full id of the task
 * @attempt: attempt
 * @token: token of the command that it answers; 0 in a listing
 * @boot: number of boots of the worker; 0 if it does not tell
 * @usage: usage, with a lag
 * @usage_at: time of @usage
 * @reason: why it failed, refused or stopped
 */
struct seam_worker_report {
	int say;
	char worker[64];
	char task[SEAM_TASK_ID];
	int64_t attempt;
	uint64_t token;
	int64_t boot;
	struct seam_need usage;
	seam_time usage_at;
	char reason[96];
};

/**
 * struct seam_worker_pace - when a worker's tasks are listed
 * @news_at: last command that starts or stops something
 * @least: shortest time between listings after it
 * @states_at: last answer with the states of all its tasks
 * @listed_at: last listing
 *
 * Answers to renewals carry the states of running tasks. Listings tell of ends
 * sooner: the more often, the later the last start or stop was sent.
 */
struct seam_worker_pace {
	seam_time news_at;
	seam_time least;
	seam_time states_at;
	seam_time listed_at;
};

/** seam_worker_pace_cmd() - a command was sent; @what is enum seam_worker_do */
void seam_worker_pace_cmd(struct seam_worker_pace *p, int what, seam_time now);

/** seam_worker_pace_states() - a listing or all renewals were answered */
void seam_worker_pace_states(struct seam_worker_pace *p, bool listing,
			     seam_time now);

/** seam_worker_pace_next() - time of the next listing */
seam_time seam_worker_pace_next(const struct seam_worker_pace *p,
				seam_time now);

struct seam_workers;

/**
 * struct seam_worker_ops - commands to workers and their reports
 * @send: queue a command; does not block; SEAM_BUSY if too many wait
 * @poll: take reports about the tasks of one bucket; @prefix is their id up to
 *        and with the last "~". Answers to commands, and states from listings;
 *        the same state may come again
 * @free: close all connections
 *
 * Commands to one worker are carried out in order. An answer may be lost; the
 * states then come with the next listing.
 */
struct seam_worker_ops {
	int (*send)(struct seam_workers *w, const struct seam_worker_cmd *c,
		    struct seam_err *e);
	size_t (*poll)(struct seam_workers *w, const char *prefix,
		       struct seam_worker_report *out, size_t max);
	void (*free)(struct seam_workers *w);
};

/** struct seam_workers - links to workers; the vtable is the first member */
struct seam_workers {
	const struct seam_worker_ops *ops;
};

/**
 * seam_workerlink_new() - links over HTTP
 * @k: clock
 * @key: bearer key that authenticates this node to workers
 * @wake: called after a report arrived, from a link's thread; may be NULL
 * @arg: passed to @wake
 *
 * Each worker that gets a command has one thread, which sends commands in
 * order and lists the worker's tasks as struct seam_worker_pace says. Renewals
 * that arrive within 100 ms go in one call; a worker that does not know that
 * call gets them one by one.
 */
struct seam_workers *seam_workerlink_new(struct seam_clock *k, const char *key,
					 void (*wake)(void *arg), void *arg);

/** seam_worker_cmd_json() - body of a command; caller puts it */
struct json_object *seam_worker_cmd_json(const struct seam_worker_cmd *c);

/** seam_worker_renewals_json() - body of one call with @n renewals */
struct json_object *seam_worker_renewals_json(struct seam_worker_cmd *const *c,
					      size_t n);

/** seam_worker_cmd_read() - read a body; @c->payload points into @o */
void seam_worker_cmd_read(struct json_object *o, struct seam_worker_cmd *c);

/** seam_worker_report_json() - a worker's statement; caller puts it */
struct json_object *seam_worker_report_json(const struct seam_worker_report *r);

/** seam_worker_report_read() - read a statement; -1 if malformed */
int seam_worker_report_read(struct json_object *o,
			    struct seam_worker_report *r);

/** seam_worker_do_name() - path of a command: "start", "renew", ... */
const char *seam_worker_do_name(int what);

/** seam_worker_say_name() - "running", "done", ... */
const char *seam_worker_say_name(int say);

/** seam_worker_say_of() - enum seam_worker_say by name, -1 if unknown */
int seam_worker_say_of(const char *name);

#ifdef __cplusplus
}
#endif
#endif
