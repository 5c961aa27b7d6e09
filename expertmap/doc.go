// Package expertmap plans the placement of experts on the ranks of an
// expert-parallel model group.
//
// The ranks of a group run each step in lockstep, so the slowest rank
// determines the step time. The package estimates the popularity of experts
// from delayed and incomplete reports (Estimator), estimates the speed of ranks
// from their step times (SpeedEstimator), and plans the next expert map
// (Planner). A map assigns an expert to each slot and a share of the expert's
// tokens to each of its replicas, the slots that hold it. Small load shifts are
// therefore handled by changing shares without moving weights. A move loads the
// weights of an expert into a slot from the weight store, which holds those of
// all experts.
//
// Every result depends only on the arguments and on earlier calls: the package
// uses no clock, network or randomness. Types are not safe for concurrent use
// unless their documentation says so.
package expertmap
