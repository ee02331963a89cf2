#ifndef SEAM_FAKE_WORKER_IMPL_H
#define SEAM_FAKE_WORKER_IMPL_H

/* Private to the files of the fake worker. */

#include <glib.h>
#include <pthread.h>

#include "fake/fake.h"

/* The latest attempt of a task for which a worker has had a command. */
struct task_attempt {
	char task[SEAM_TASK_ID_SIZE];
	int64_t attempt;
	uint64_t token;
	int attempt_state; /* enum seam_attempt_state */
	bool once; /* must not start twice */
	bool will_fail; /* ends as failed at @end_at */
	bool ignores_throttle;
	struct seam_need need;
	struct seam_need usage;
	seam_time lease_until;
	seam_time end_at;
	seam_time stop_at;
	seam_time ended_at;
	char reason[96];
};

struct worker {
	struct seam_vm vm;
	struct seam_fake_worker_faults faults;
	GHashTable *attempts; /* task to latest struct task_attempt */
};

struct seam_fake_workers {
	struct seam_clock *clock;
	pthread_mutex_t lock;
	uint64_t seed;
	GHashTable *workers; /* id to struct worker */
	GHashTable *starts; /* task to number of starts */
	GHashTable *
		dc_out; /* data centre to seam_time at which it was taken out */
	int total_starts;
};

/* Carries out a command on worker @id; returns -1 if it gives no answer. */
int seam_fake_worker_exec(struct seam_fake_workers *f, const char *id,
			  const struct seam_worker_cmd *c,
			  struct seam_worker_report *out);

/* True if worker @id does not support the batched call for renewals. */
bool seam_fake_worker_lacks_renew_all(struct seam_fake_workers *f,
				      const char *id);

/* Appends a struct seam_worker_report for each task that worker @id lists. */
void seam_fake_worker_list(struct seam_fake_workers *f, const char *id,
			   GArray *out);

#endif
