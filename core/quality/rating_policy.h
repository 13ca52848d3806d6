// Selects the answers that are rated and isolates the delivery of answers from failures of the
// rating service.
//
//   RatingSampler<std::mt19937_64> sampler(seed, defaults.ratingSamplePermille);
//   if (sampler.shouldRate(version, isUncertain(step) || view.isSuspect(version)))
//       queue.push(job);                     // full queue: the oldest job is dropped
//   if (breaker.allowRequest(now))
//       send(queue.pop());                   // then recordSuccess() or recordFailure(now)
//
// An answer waits for its rating only if it could still be replaced by a more expensive one, and
// only until a deadline; see core/versions/cascade.h.

#ifndef FIREFLYROUTE_CORE_QUALITY_RATING_POLICY_H
#define FIREFLYROUTE_CORE_QUALITY_RATING_POLICY_H

#include "core/common/clock.h"
#include "core/quality/quality_estimate.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>

namespace fireflyroute::core {

// Samples answers per version: one at a random position of each block of answers, so that the gap
// between two rated answers is bounded. A rating far below the mean causes every answer of the
// version to be rated for a while.
template<std::uniform_random_bit_generator Rng>
class RatingSampler
{
public:
    // A rating that is lower than the mean by more than this gap counts as low.
    static constexpr double kLowRatingGap = 0.2;
    // Number of answers that are all rated after a low rating.
    static constexpr std::uint32_t kBurstAnswers = 20;

    RatingSampler(std::uint64_t seed, std::uint32_t samplePermille)
        : rng_(seed)
        , samplePermille_(samplePermille)
    {}

    void setSamplePermille(std::uint32_t samplePermille) { samplePermille_ = samplePermille; }

    // Whether the next answer of the version is rated. `alwaysRate`: also if it is not sampled.
    [[nodiscard]] bool shouldRate(const ModelVersion &version, bool alwaysRate);

    // Records a rating and the mean that was expected for it.
    void observe(const ModelVersion &version, double rating, double expectedMean);

private:
    struct Block
    {
        std::uint32_t position = 0; // number of answers in this block so far
        std::uint32_t sampledPosition = 0; // position of the answer to rate; less than length
        std::uint32_t length = 0; // 0 before the first block
        std::uint32_t remainingBurst = 0; // answers still to be rated regardless of sampling
    };

    bool sample(Block &block);

    Rng rng_;
    std::uint32_t samplePermille_;
    std::unordered_map<ModelVersion, Block> blocks_;
};

template<std::uniform_random_bit_generator Rng>
bool RatingSampler<Rng>::shouldRate(const ModelVersion &version, bool alwaysRate)
{
    Block &block = blocks_[version];
    const bool sampled = sample(block);
    if (block.remainingBurst > 0) {
        --block.remainingBurst;
        return true;
    }
    return alwaysRate || sampled;
}

template<std::uniform_random_bit_generator Rng>
bool RatingSampler<Rng>::sample(Block &block)
{
    constexpr std::uint32_t permille = 1000;
    if (samplePermille_ == 0)
        return false;
    if (block.position >= block.length) {
        block.position = 0;
        block.length = std::max(permille / samplePermille_, 1U);
        block.sampledPosition =
                std::uniform_int_distribution<std::uint32_t>(0, block.length - 1)(rng_);
    }
    return block.position++ == block.sampledPosition;
}

template<std::uniform_random_bit_generator Rng>
void RatingSampler<Rng>::observe(const ModelVersion &version, double rating, double expectedMean)
{
    if (rating < expectedMean - kLowRatingGap)
        blocks_[version].remainingBurst = kBurstAnswers;
}

// Bounded queue of jobs for the rating service.
template<typename Job>
class RatingQueue
{
public:
    explicit RatingQueue(std::size_t capacity)
        : capacity_(capacity)
    {}

    // Adds a job. If the queue is full, the oldest job is dropped and returned.
    std::optional<Job> push(Job job)
    {
        jobs_.push_back(std::move(job));
        if (jobs_.size() <= capacity_)
            return std::nullopt;
        ++dropped_;
        return pop();
    }

    // Removes and returns the oldest job, if any.
    std::optional<Job> pop()
    {
        if (jobs_.empty())
            return std::nullopt;
        std::optional<Job> job(std::move(jobs_.front()));
        jobs_.pop_front();
        return job;
    }

    [[nodiscard]] std::size_t size() const { return jobs_.size(); }
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    std::size_t capacity_;
    std::deque<Job> jobs_; // at most capacity_
    std::uint64_t dropped_ = 0;
};

// State of the circuit breaker. HalfOpen: one probe is in flight.
enum class CircuitState { Closed, Open, HalfOpen };

template<>
struct EnumNames<CircuitState>
{
    static constexpr std::array table{
            EnumName{CircuitState::Closed, "closed"},
            EnumName{CircuitState::Open, "open"},
            EnumName{CircuitState::HalfOpen, "half_open"},
    };
};

struct CircuitPolicy
{
    std::uint32_t failuresToOpen = 5; // consecutive failures
    Duration openDuration = std::chrono::seconds(5);
};

// Circuit breaker for the rating service. Each job that was sent ends in recordSuccess() or
// recordFailure(), also when the caller's timeout expires; otherwise the circuit stays half-open.
// While it is not closed, no answer waits for a rating and no cheaper version is tried.
class RatingCircuitBreaker
{
public:
    explicit RatingCircuitBreaker(const CircuitPolicy &policy)
        : policy_(policy)
    {}

    // Whether a job may be sent now. After an open circuit's waiting time, returns true once, for
    // the probe.
    [[nodiscard]] bool allowRequest(Instant now)
    {
        if (state_ == CircuitState::Open && now - openedAt_ >= policy_.openDuration) {
            state_ = CircuitState::HalfOpen;
            return true;
        }
        return state_ == CircuitState::Closed;
    }

    void recordSuccess()
    {
        state_ = CircuitState::Closed;
        failures_ = 0;
    }

    // Records a timeout or an error of the rating service.
    void recordFailure(Instant now)
    {
        ++failures_;
        if (state_ == CircuitState::Closed && failures_ < policy_.failuresToOpen)
            return;
        state_ = CircuitState::Open;
        openedAt_ = now;
    }

    [[nodiscard]] CircuitState state() const { return state_; }

private:
    CircuitPolicy policy_;
    CircuitState state_ = CircuitState::Closed;
    std::uint32_t failures_ = 0; // consecutive failures
    Instant openedAt_; // valid unless closed
};

} // namespace fireflyroute::core

#endif
