// State machine that runs one request through the steps of its plan: dispatch a step, optionally
// wait for a rating of the answer, escalate to the next step on a low rating, deliver one answer.
//
//   Cascade cascade(plan, sampledForRating, CascadePolicy{});
//   CascadeAction action = cascade.step(CascadeStarted{}, now, budget);
//   // Run step 0 -> CascadeAnswered -> AwaitRating until deadline -> CascadeRated{0.4} -> Run 1
//
// The cascade does not handle endpoints: the caller retries a step on another endpoint. Several
// steps may answer; exactly one answer is delivered and billed.

#ifndef FIREFLYROUTE_CORE_VERSIONS_CASCADE_H
#define FIREFLYROUTE_CORE_VERSIONS_CASCADE_H

#include "core/common/clock.h"
#include "core/versions/version_choice.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace fireflyroute::core {

// Limits how many requests are answered more than once. Each first attempt earns a fraction of an
// escalation. The balance is bounded, so that idle periods can't accumulate credit for a burst.
class EscalationBudget
{
public:
    EscalationBudget(std::uint32_t earnPermille, std::uint32_t maxEscalations)
        : earnPermille_(earnPermille)
        , maxBalance_(std::uint64_t{maxEscalations} * kPermille)
        , balance_(maxBalance_)
    {}

    void recordFirstAttempt() { balance_ = std::min(balance_ + earnPermille_, maxBalance_); }

    // Takes one escalation from the balance; returns false if the balance is too low.
    bool trySpend()
    {
        if (balance_ < kPermille)
            return false;
        balance_ -= kPermille;
        return true;
    }

private:
    static constexpr std::uint64_t kPermille = 1000;

    std::uint64_t earnPermille_;
    std::uint64_t maxBalance_;
    std::uint64_t balance_; // in thousandths of an escalation, at most maxBalance_
};

struct CascadePolicy
{
    // An answer is replaced if its rating is below the target of its step by more than this margin.
    // Targets apply to the mean rating, so acceptable answers are also rated below the target.
    double escalationMargin = 0.1;
    Duration ratingTimeout = std::chrono::milliseconds(800);
};

// Inputs. All except CascadeStarted refer to the running step.
struct CascadeStarted
{};
struct CascadeAnswered
{};
struct CascadeRated
{
    double rating = 0;
};
// The rating timed out, was dropped, or can't be requested.
struct CascadeUnrated
{};
// The step failed and its retries are exhausted.
struct CascadeFailed
{};

using CascadeInput =
        std::variant<CascadeStarted, CascadeAnswered, CascadeRated, CascadeUnrated, CascadeFailed>;

// Action that the caller performs next.
enum class CascadeActionKind { Run, AwaitRating, Deliver, Fail };

template<>
struct EnumNames<CascadeActionKind>
{
    static constexpr std::array table{
            EnumName{CascadeActionKind::Run, "run"},
            EnumName{CascadeActionKind::AwaitRating, "await_rating"},
            EnumName{CascadeActionKind::Deliver, "deliver"},
            EnumName{CascadeActionKind::Fail, "give_up"},
    };
};

struct CascadeAction
{
    CascadeActionKind kind = CascadeActionKind::Fail;
    std::size_t step = 0; // index into the plan's steps
    Instant deadline; // for AwaitRating: time at which to send CascadeUnrated

    bool operator==(const CascadeAction &) const = default;
};

class Cascade
{
public:
    // `sampled`: the rating policy selected the answer. Uncertain steps are rated in any case.
    Cascade(CascadePlan plan, bool sampled, const CascadePolicy &policy)
        : plan_(std::move(plan))
        , sampled_(sampled)
        , policy_(policy)
    {}

    CascadeAction step(const CascadeInput &input, Instant now, EscalationBudget &budget);

    [[nodiscard]] const CascadePlan &plan() const { return plan_; }

private:
    struct Answer
    {
        std::size_t step = 0;
        std::optional<double> rating;
    };

    CascadeAction onAnswer(Instant now);
    CascadeAction onRating(double rating, EscalationBudget &budget);
    CascadeAction onFailure();
    [[nodiscard]] CascadeAction deliverBest() const;
    [[nodiscard]] bool hasNext() const { return current_ + 1 < plan_.steps.size(); }

    CascadePlan plan_;
    bool sampled_;
    CascadePolicy policy_;
    std::size_t current_ = 0; // running or last step; less than plan_.steps.size()
    std::vector<Answer> answers_; // complete answers in order of their steps
};

} // namespace fireflyroute::core

#endif
