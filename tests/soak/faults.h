/*
 * Seeded faults and planned work of a soak, in series and overlapping. One
 * thread owns them and calls faults_step().
 */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include "testbed.h"

struct faults;

struct faults *faults_new(struct testbed *tb, uint64_t seed);
void faults_free(struct faults *f);
/* Begins and ends what is due; 0 <= @may_begin: 0 only ends. */
void faults_step(struct faults *f, int64_t now_us, int may_begin);
/* Ends all that is going on, and starts the hosts that are down. */
void faults_end_all(struct faults *f);
/* Lines with how often each kind was begun. */
void faults_report(const struct faults *f);

#endif
