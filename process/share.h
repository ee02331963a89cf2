#ifndef SEAM_SHARE_H
#define SEAM_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/table.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum seam_resource - resources that tasks occupy */
enum seam_resource {
	SEAM_CPU_MILLI,
	SEAM_MEMORY_MB,
	SEAM_ACCELERATORS,
	SEAM_RESOURCES
};

/** struct seam_amount - an amount of each resource */
struct seam_amount {
	int64_t of[SEAM_RESOURCES];
};

/**
 * struct seam_share - weighted max-min fairness on the dominant resource
 *
 * Teams share the capacity, then workspaces share what their team has. Source:
 * dominant resource fairness (Ghodsi et al., NSDI 2011), with weights and with
 * demands that may be less than the share. Not locked.
 */
struct seam_share;

/** seam_share_new() - no teams and no capacity; NULL without memory */
struct seam_share *seam_share_new(void);

/** seam_share_free() - free it */
void seam_share_free(struct seam_share *s);

/** seam_share_capacity() - set what can be shared */
void seam_share_capacity(struct seam_share *s, const struct seam_amount *all);

/** seam_share_team() - add a team of @weight (at least 1) */
struct seam_handle seam_share_team(struct seam_share *s, int64_t weight);

/** seam_share_workspace() - add a workspace; SEAM_NONE if @team is stale */
struct seam_handle seam_share_workspace(struct seam_share *s,
					struct seam_handle team,
					int64_t weight);

/** seam_share_del() - delete a team with its workspaces, or a workspace */
void seam_share_del(struct seam_share *s, struct seam_handle team,
		    struct seam_handle workspace);

/**
 * seam_share_demand() - set what a workspace uses and wants in all
 * @s: shares
 * @workspace: workspace
 * @demand: running and waiting tasks together
 *
 * Return: false if @workspace is stale.
 */
bool seam_share_demand(struct seam_share *s, struct seam_handle workspace,
		       const struct seam_amount *demand);

/**
 * seam_share_use() - add to what a workspace uses
 * @s: shares
 * @workspace: workspace
 * @amount: amount of the task
 * @sign: 1 when it starts, -1 when it ends
 */
bool seam_share_use(struct seam_share *s, struct seam_handle workspace,
		    const struct seam_amount *amount, int sign);

/**
 * seam_share_compute() - entitlements from capacity, weights and demands
 *
 * Takes O(n log n) for n teams and workspaces. Starts and ends of tasks need
 * no new computation; changed demands, weights and capacity do.
 */
void seam_share_compute(struct seam_share *s);

/**
 * seam_share_entitled() - part of the demand that the share covers
 * @s: shares
 * @team: team, or SEAM_NONE
 * @workspace: workspace, or SEAM_NONE to ask for the team
 * @out: receives the amount; may be NULL
 *
 * Return: the dominant share, 0 to 1 of the fleet.
 */
double seam_share_entitled(const struct seam_share *s, struct seam_handle team,
			   struct seam_handle workspace,
			   struct seam_amount *out);

/** seam_share_used() - dominant share in use; parameters as above */
double seam_share_used(const struct seam_share *s, struct seam_handle team,
		       struct seam_handle workspace);

/**
 * seam_share_next() - who gets a freed resource
 * @s: shares
 * @skip: asked for each team and workspace that could be next; true passes it
 *        over, e.g. because its tasks do not fit; may be NULL
 * @arg: passed to it
 * @team: receives the team with unmet demand that has least for its weight
 * @workspace: receives its workspace, chosen in the same way
 *
 * Return: false if nobody has unmet demand.
 */
bool seam_share_next(const struct seam_share *s,
		     bool (*skip)(struct seam_handle workspace, void *arg),
		     void *arg, struct seam_handle *team,
		     struct seam_handle *workspace);

/**
 * seam_share_over() - from whom lent resources are taken back
 * @s: shares
 * @team: receives the team that is furthest over its share for its weight
 * @workspace: receives its workspace that is furthest over its own
 *
 * Return: false unless one team is over its share while another, with unmet
 * demand, is under its own.
 */
bool seam_share_over(const struct seam_share *s, struct seam_handle *team,
		     struct seam_handle *workspace);

/**
 * struct seam_lent - a running task that may be taken back
 * @started: when it started
 * @amount: what it occupies
 * @task: the caller's handle
 */
struct seam_lent {
	seam_time started;
	struct seam_amount amount;
	struct seam_handle task;
};

/**
 * seam_share_victims() - choose the newest tasks until @need is covered
 * @lent: tasks of one workspace; sorted by this function, newest first
 * @n: their number
 * @need: amount to free; tasks that free none of it are not taken
 * @over: greatest amount to take, so that the workspace stays at its share
 *
 * Return: number of tasks at the start of @lent to checkpoint and stop.
 */
size_t seam_share_victims(struct seam_lent *lent, size_t n,
			  const struct seam_amount *need,
			  const struct seam_amount *over);

#ifdef __cplusplus
}
#endif
#endif
