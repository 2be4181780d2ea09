"""Prints docs/FAULTS.md from the cells that the fault matrices reported.

Usage: fault_table.py REPORT TEST...
A line of REPORT: protocol, step, fault, variant, schedules, violations, why not run; tab-separated.
"""
import collections
import sys

Cell = collections.namedtuple("Cell", "protocol step fault variant schedules violations not_run")


def read_cells(path):
    """Returns the cells in the order in which they were reported."""
    with open(path, encoding="utf-8") as lines:
        rows = [line.rstrip("\n").split("\t") for line in lines]
    return [Cell(*row[:4], int(row[4]), int(row[5]), row[6]) for row in rows]


def unique(values):
    """Returns each value once, in order."""
    return list(dict.fromkeys(values))


def cell_text(cells):
    """Returns what stands in the table for the cells of one row and column."""
    run = [cell for cell in cells if not cell.not_run]
    if not run:
        return "not run" if cells else "–"
    schedules = sum(cell.schedules for cell in run)
    violations = sum(cell.violations for cell in run)
    return f"{schedules} (**{violations}**)" if violations else f"{schedules} (0)"


def print_table(protocol, variant, cells):
    """Prints one table: a row for each step, a column for each fault."""
    steps = unique(cell.step for cell in cells)
    faults = unique(cell.fault for cell in cells)
    by_place = collections.defaultdict(list)
    for cell in cells:
        by_place[cell.step, cell.fault].append(cell)
    print(f"\n### {protocol}{': ' + variant if variant else ''}\n")
    # A long table has the faults as rows.
    if len(faults) > 3 * len(steps):
        print("| fault | " + " | ".join(steps) + " |")
        print("|---|" + "---|" * len(steps))
        for fault in faults:
            row = " | ".join(cell_text(by_place[step, fault]) for step in steps)
            print(f"| {fault} | {row} |")
        return
    print("| step | " + " | ".join(faults) + " |")
    print("|---|" + "---|" * len(faults))
    for step in steps:
        row = " | ".join(cell_text(by_place[step, fault]) for fault in faults)
        print(f"| {step} | {row} |")


def print_totals(cells):
    """Prints schedules and violations by protocol."""
    print("\n## Totals\n\n| protocol | cells run | schedules | violations | cells not run |")
    print("|---|---|---|---|---|")
    groups = [(name, [cell for cell in cells if cell.protocol == name])
              for name in unique(cell.protocol for cell in cells)]
    for name, group in groups + [("all", cells)]:
        run = [cell for cell in group if not cell.not_run]
        print(f"| {name} | {len(run)} | {sum(cell.schedules for cell in run)} "
              f"| {sum(cell.violations for cell in run)} | {len(group) - len(run)} |")


def print_not_run(cells):
    """Prints the cells that no schedule covers, by name, grouped by reason."""
    print("\n## Cells not run\n")
    reasons = collections.defaultdict(list)
    for cell in cells:
        reason = cell.not_run or ("the fault struck in no schedule" if not cell.schedules else "")
        if reason:
            variant = f" ({cell.variant})" if cell.variant else ""
            reasons[cell.protocol, reason].append(f"{cell.step} × {cell.fault}{variant}")
    if not reasons:
        print("None.")
    for (protocol, reason), names in reasons.items():
        print(f"- **{protocol}: {reason}.** {'; '.join(names)}.")


def main():
    cells = read_cells(sys.argv[1])
    print("# Faults\n\nPrinted by `scripts/fault-matrix` from a run of: "
          + ", ".join(f"`{test}`" for test in sys.argv[2:]) + ".\n\n"
          "A cell gives the schedules run and, in brackets, those in which the outside checker saw "
          "a violation. Seeds are fixed.")
    print_totals(cells)
    print("\n## Tables")
    for protocol in unique(cell.protocol for cell in cells):
        group = [cell for cell in cells if cell.protocol == protocol]
        singles = [cell for cell in group if " + " not in cell.fault]
        pairs = [cell for cell in group if " + " in cell.fault]
        for kind in (singles, pairs):
            for variant in unique(cell.variant for cell in kind):
                rows = [cell for cell in kind if cell.variant == variant]
                name = protocol + (", pairs" if kind is pairs else "")
                print_table(name, variant, rows)
    print_not_run(cells)


if __name__ == "__main__":
    main()
