/*
 * Faults and the operator's changes during a soak, drawn from a seed; up to
 * four overlap. One thread owns them and calls faults_step().
 */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include "testbed.h"

struct faults;

struct faults *faults_new(struct testbed *tb, uint64_t seed);
void faults_free(struct faults *f);
/* Ends the faults that are due, and begins one that is due if @may_begin. */
void faults_step(struct faults *f, int64_t now_us, int may_begin);
/*
 * Ends all active faults, which starts the hosts that are down. An order of a
 * rollout stays until its time, so that faults_step() judges its outcome.
 */
void faults_end_all(struct faults *f);
/* Prints how often each kind of fault was begun. */
void faults_report(const struct faults *f);

#endif
