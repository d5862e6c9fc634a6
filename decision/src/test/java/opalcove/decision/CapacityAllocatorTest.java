package opalcove.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CapacityAllocatorTest {
    @Test
    void grantsFloorsFirstAndSplitsTheRemainderByRootOfWeightTimesDemand() {
        double[] share = CapacityAllocator.allocate(
                19, new double[] {4, 1}, new double[] {4, 4}, new double[] {2, 2}, new double[] {99, 99});
        assertArrayEquals(new double[] {2 + 15 * 2.0 / 3, 2 + 15 / 3.0}, share, 1e-9);
    }

    @Test
    void clampsSharesAndDistributesTheExcessAgain() {
        double[] share = CapacityAllocator.allocate(
                19, new double[] {4, 1}, new double[] {4, 4}, new double[] {2, 2}, new double[] {5, 99});
        assertArrayEquals(new double[] {5, 14}, share, 1e-9);
    }

    @Test
    void fillsFloorsInOrderOfWeightWhenTheyExceedCapacity() {
        double[] share = CapacityAllocator.allocate(
                5, new double[] {4, 2, 1}, new double[] {4, 4, 4}, new double[] {3, 3, 3}, new double[] {9, 9, 9});
        assertArrayEquals(new double[] {3, 2, 0}, share, 1e-9);
    }

    @Test
    void raisesWeightOfHighClassWhenItsDemandIsLarge() {
        double[] share = CapacityAllocator.allocate(
                10, new double[] {2, 1}, new double[] {8, 1}, new double[] {0, 0}, new double[] {99, 99});
        assertTrue(
                share[0] / 8 >= share[1] / 1 - 1e-9,
                "the share of the class of high weight is at least as large in proportion to its demand");
    }

    @Test
    void givesNoShareWithoutDemandAndAllCapacityToSingleClass() {
        assertArrayEquals(
                new double[] {0, 6},
                CapacityAllocator.allocate(
                        6, new double[] {2, 1}, new double[] {0, 3}, new double[] {0, 1}, new double[] {9, 9}),
                1e-9);
        assertArrayEquals(
                new double[] {6},
                CapacityAllocator.allocate(6, new double[] {2}, new double[] {3}, new double[] {1}, new double[] {9}),
                1e-9);
    }
}
